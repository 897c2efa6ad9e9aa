package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against lost, mixed-up or repeated requests and responses, with the proxy between raw sockets. */
@Timeout(120)
class ProxyServerTest extends ProxyTestBase {
    /** Guards against a proxy that loses the response, the deadline or the request id. */
    @Test
    void forwardsRequestAndResponse() throws Exception {
        upstream = RawUpstream.responding(OK);
        TestForwarding forwarding = TestForwarding.lookup(upstream.address());
        try (RawConnection caller = start(forwarding(forwarding))) {
            String response = caller.send(GET).readMessage();
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertTrue(response.endsWith("ok"), response);
            String seen = upstream.heads.get(0);
            assertTrue(seen.startsWith("GET /stars?page=2 HTTP/1.1\r\n"), seen);
            assertEquals(upstream.address(), RawConnection.header(seen, "Host"));
            assertEquals(
                    RawConnection.header(response, HeaderRules.REQUEST_ID),
                    RawConnection.header(seen, HeaderRules.REQUEST_ID));
            assertNotNull(RawConnection.header(seen, HeaderRules.DEADLINE));
            assertEquals(new TestForwarding.Finish(200, null, null, true), forwarding.awaitFinish());
            assertEquals(List.of(new TestForwarding.Attempt(AttemptOutcome.SUCCESS, true)), forwarding.attempts);
        }
    }

    /** Guards against leaking a caller's key, also through a trailer or an upgraded hop-by-hop header. */
    @Test
    void removesKeyAndHopByHopHeaders() throws Exception {
        StringBuffer body = new StringBuffer();
        upstream = new RawUpstream((connection, number) -> {
            String head = upstream.readHead(connection);
            body.append(new String(connection.readBody(head)));
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: x\r\nConnection: X-Hop\r\n"
                    + "X-Hop: 1\r\nX-End: 2\r\nAuburnhoist-Outcome: not-run\r\n\r\n");
        });
        try (RawConnection caller = start(lookups(upstream.address()))) {
            String response = caller.send("POST /a HTTP/1.1\r\nHost: fleet\r\nauthORIZATION: Bearer id.secret\r\n"
                            + "Proxy-Authorization: secret\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\n"
                            + "X-Forwarded-For: 10.1.1.1\r\nAuburnhoist-Deadline-Millis: 1\r\nX-Kept: 3\r\n"
                            + "Transfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n"
                            + "4\r\nbody\r\n0\r\nAuthorization: Bearer id.secret\r\n\r\n")
                    .readMessage();
            String seen = upstream.heads.get(0);
            assertFalse(seen.toLowerCase(Locale.ROOT).contains("secret"), seen);
            assertFalse(seen.contains("X-Mine"), seen);
            assertEquals("3", RawConnection.header(seen, "X-Kept"));
            assertEquals("10.1.1.1, 127.0.0.1", RawConnection.header(seen, "X-Forwarded-For"));
            assertFalse(RawConnection.header(seen, HeaderRules.DEADLINE).equals("1"), seen);
            assertEquals("body", body.toString());
            assertNull(RawConnection.header(response, "X-Hop"));
            assertNull(RawConnection.header(response, "Auburnhoist-Outcome"));
            assertEquals("2", RawConnection.header(response, "X-End"));
        }
    }

    /** Guards against a host that accepts no more requests after one unexpected error. */
    @Test
    void policyErrorRefusesOnlyThatRequest() throws Exception {
        upstream = RawUpstream.responding(OK);
        try (RawConnection caller = start((head, now) -> {
            if (head.path().equals("/bad")) {
                throw new StackOverflowError("of the test");
            }
            return CompletableFuture.completedFuture(
                    new Admission.Forwarded(TestForwarding.lookup(upstream.address())));
        })) {
            caller.send("GET /bad HTTP/1.1\r\nHost: fleet\r\n\r\n");
            assertRefused(caller.readMessage(), Refusal.HOST_ISOLATED);
            caller.send(GET);
            assertTrue(caller.readMessage().startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against a late response that is delivered to the next caller after a timeout. */
    @Test
    void lateResponseNeverReachesAnotherRequest() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        upstream = new RawUpstream((connection, number) -> {
            String head = upstream.readHead(connection);
            if (head.startsWith("GET /slow")) {
                late.await();
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            }
            connection.send(OK);
            connection.read();
        });
        RequestPolicy policy =
                (head, now) -> CompletableFuture.completedFuture(new Admission.Forwarded(new TestForwarding(
                        TrafficClass.LOOKUP,
                        head.path().equals("/slow") ? Duration.ofMillis(200) : Duration.ofSeconds(60),
                        upstream.address())));
        try (RawConnection caller = start(policy)) {
            String first =
                    caller.send("GET /slow HTTP/1.1\r\nHost: fleet\r\n\r\n").readMessage();
            assertRefused(first, Refusal.UPSTREAM_TIMEOUT);
            late.countDown();
            assertTrue(caller.send(GET).readMessage().endsWith("ok"));
            assertEquals(2, upstream.connections.get());
        }
    }

    /** Guards against reuse of a connection on which the server sent more than its response. */
    @Test
    void surplusBytesNeverReachAnotherRequest() throws Exception {
        upstream = new RawUpstream((connection, number) -> {
            while (upstream.readHead(connection) != null) {
                connection.send(OK + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
            }
        });
        try (RawConnection caller = start(lookups(upstream.address()))) {
            for (int count = 0; count < 20; count++) {
                assertTrue(caller.send(GET).readMessage().endsWith("ok"));
            }
            assertEquals(20, upstream.connections.get());
        }
    }

    /** Guards against a connection for each request, and against more connections than the limit. */
    @Test
    void reusesConnectionsWithinTheLimit() throws Exception {
        upstream = RawUpstream.responding(OK);
        RequestPolicy policy = (head, now) -> CompletableFuture.completedFuture(new Admission.Forwarded(
                TestForwarding.lookup(upstream.address()).connectionLimit(1)));
        try (RawConnection caller = start(policy);
                RawConnection other = RawConnection.to(proxy.address())) {
            for (int count = 0; count < 50; count++) {
                caller.send(GET);
                other.send(GET);
                assertTrue(caller.readMessage().endsWith("ok"));
                assertTrue(other.readMessage().endsWith("ok"));
            }
            assertEquals(1, upstream.connections.get());
        }
    }

    /** Guards against a failed lookup when the server closes its idle connection. */
    @Test
    void lookupSucceedsWhenServerClosesIdleConnections() throws Exception {
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            connection.send(OK);
        });
        TestForwarding[] used = new TestForwarding[1];
        RequestPolicy policy = (head, now) -> {
            used[0] = TestForwarding.lookup(upstream.address());
            return CompletableFuture.completedFuture(new Admission.Forwarded(used[0]));
        };
        try (RawConnection caller = start(policy)) {
            for (int count = 0; count < 50; count++) {
                assertTrue(caller.send(GET).readMessage().endsWith("ok"));
                assertTrue(used[0].awaitFinish().complete());
                assertEquals(List.of(new TestForwarding.Attempt(AttemptOutcome.SUCCESS, true)), used[0].attempts);
            }
        }
    }

    /** Guards against not reporting a server that crashed on a request received over a reused connection. */
    @Test
    void reportsServerThatCrashesOnRequest() throws Exception {
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            connection.send(OK);
            upstream.readHead(connection);
            upstream.close();
        });
        TestForwarding first = TestForwarding.lookup(upstream.address());
        TestForwarding second = TestForwarding.lookup(upstream.address());
        RequestPolicy policy = (head, now) -> CompletableFuture.completedFuture(
                new Admission.Forwarded(head.path().equals("/deadly") ? second : first));
        try (RawConnection caller = start(policy)) {
            assertTrue(caller.send(GET).readMessage().endsWith("ok"));
            awaitIdleConnection();
            String response =
                    caller.send("GET /deadly HTTP/1.1\r\nHost: fleet\r\n\r\n").readMessage();
            assertRefused(response, Refusal.UPSTREAM_FAILED);
            assertEquals(List.of(new TestForwarding.Attempt(AttemptOutcome.CONNECTION_LOST, true)), second.attempts);
        }
    }

    /** Guards against a lookup that is not retried on another server, and against a retry that loses the body. */
    @Test
    void retriesIdempotentRequestWithItsBody() throws Exception {
        try (RawUpstream broken = new RawUpstream((connection, number) -> connection.readHead())) {
            StringBuffer body = new StringBuffer();
            upstream = new RawUpstream((connection, number) -> {
                body.append(new String(connection.readBody(upstream.readHead(connection))));
                connection.send(OK);
            });
            TestForwarding forwarding = TestForwarding.lookup(broken.address(), upstream.address());
            try (RawConnection caller = start(forwarding(forwarding))) {
                String response = caller.send("PUT /a HTTP/1.1\r\nHost: fleet\r\nContent-Length: 5\r\n\r\nhello")
                        .readMessage();
                assertTrue(response.endsWith("ok"), response);
                assertEquals("hello", body.toString());
                assertTrue(forwarding.awaitFinish().complete());
                assertEquals(
                        List.of(
                                new TestForwarding.Attempt(AttemptOutcome.CONNECTION_LOST, true),
                                new TestForwarding.Attempt(AttemptOutcome.SUCCESS, true)),
                        forwarding.attempts);
            }
        }
    }

    /** Guards against a booking that is sent to a second server after the first one may have run it. */
    @Test
    void bookingIsNeverSentTwice() throws Exception {
        upstream = RawUpstream.responding(OK);
        try (RawUpstream broken = new RawUpstream((connection, number) -> connection.readHead())) {
            TestForwarding forwarding = TestForwarding.booking(broken.address(), upstream.address());
            try (RawConnection caller = start(forwarding(forwarding))) {
                String response = caller.send("POST /book HTTP/1.1\r\nHost: fleet\r\nContent-Length: 1\r\n\r\nx")
                        .readMessage();
                assertRefused(response, Refusal.UPSTREAM_FAILED);
                assertEquals(
                        new TestForwarding.Finish(502, Refusal.UPSTREAM_FAILED, null, true), forwarding.awaitFinish());
                assertEquals(0, upstream.connections.get());
            }
        }
    }

    /**
     * Guards against a booking that is not retried although nothing was written, and against a claim that it may have
     * run.
     */
    @Test
    void bookingIsRetriedWhenNoConnectionCouldBeOpened() throws Exception {
        RawUpstream unreachableServer = RawUpstream.responding(OK);
        unreachableServer.close();
        upstream = RawUpstream.responding(OK);
        TestForwarding forwarding = TestForwarding.booking(unreachableServer.address(), upstream.address());
        TestForwarding unreachable = TestForwarding.booking(unreachableServer.address());
        RequestPolicy policy = (head, now) -> CompletableFuture.completedFuture(
                new Admission.Forwarded(head.path().equals("/one") ? forwarding : unreachable));
        try (RawConnection caller = start(policy)) {
            assertTrue(caller.send("POST /one HTTP/1.1\r\nHost: fleet\r\n\r\n")
                    .readMessage()
                    .endsWith("ok"));
            TestForwarding.Finish finish = forwarding.awaitFinish();
            assertEquals("ok", new String(finish.recorded().body()));
            assertEquals(new TestForwarding.Attempt(AttemptOutcome.CONNECT_FAILED, false), forwarding.attempts.get(0));
            assertRefused(
                    caller.send("POST /two HTTP/1.1\r\nHost: fleet\r\n\r\n").readMessage(),
                    Refusal.UPSTREAM_UNREACHABLE);
        }
    }

    /** Guards against a booking that is cancelled, or whose response is lost, when its caller disconnects. */
    @Test
    void bookingCompletesWhenCallerDisconnects() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch disconnected = new CountDownLatch(1);
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            received.countDown();
            disconnected.await();
            connection.send("HTTP/1.1 201 Created\r\nContent-Length: 6\r\n\r\nbooked");
            connection.read();
        });
        TestForwarding forwarding = TestForwarding.booking(upstream.address());
        RawConnection caller = start(forwarding(forwarding));
        caller.send("POST /book HTTP/1.1\r\nHost: fleet\r\n\r\n");
        received.await();
        caller.reset();
        awaitNoConnections();
        disconnected.countDown();
        TestForwarding.Finish finish = forwarding.awaitFinish();
        assertEquals(0, finish.status());
        assertFalse(finish.complete());
        assertEquals(201, finish.recorded().status());
        assertEquals("booked", new String(finish.recorded().body()));
    }

    /** Guards against a server that keeps working for a caller that has disconnected. */
    @Test
    void lookupIsCancelledWhenCallerDisconnects() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            received.countDown();
            try {
                connection.read();
            } finally {
                cancelled.countDown();
            }
        });
        TestForwarding forwarding = TestForwarding.lookup(upstream.address());
        RawConnection caller = start(forwarding(forwarding));
        caller.send(GET);
        received.await();
        caller.close();
        assertTrue(cancelled.await(60, TimeUnit.SECONDS));
        assertEquals(new TestForwarding.Finish(0, null, null, false), forwarding.awaitFinish());
        assertEquals(List.of(new TestForwarding.Attempt(AttemptOutcome.ABANDONED, true)), forwarding.attempts);
    }

    /** Guards against false "not run" when a server was tried before none was left. */
    @Test
    void refusalAfterAnAttemptDoesNotClaimNotRun() throws Exception {
        upstream = RawUpstream.responding("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
        TestForwarding forwarding =
                new TestForwarding(TrafficClass.LOOKUP, Duration.ofSeconds(60), upstream.address()) {
                    @Override
                    public boolean attemptEnded(
                            AttemptOutcome outcome, boolean sent, long latencyMicros, long nowNanos) {
                        super.attemptEnded(outcome, sent, latencyMicros, nowNanos);
                        return true;
                    }
                };
        try (RawConnection caller = start(forwarding(forwarding))) {
            String response = caller.send(GET).readMessage();
            assertRefused(response, Refusal.UPSTREAM_FAILED);
            assertEquals("2", RawConnection.header(response, "Retry-After"));
            assertEquals(AttemptOutcome.SERVER_ERROR, forwarding.attempts.get(0).outcome());
        }
    }

    private void awaitNoConnections() {
        while (proxy.callerConnections() > 0) {
            Thread.onSpinWait();
        }
    }

    /** Guards against sending a request to a server that stopped accepting requests after it had been chosen. */
    @Test
    void serverThatStopsAcceptingBeforeSendingGetsNoRequest() throws Exception {
        upstream = RawUpstream.responding(OK);
        try (RawUpstream other = RawUpstream.responding(OK)) {
            TestForwarding forwarding =
                    new TestForwarding(
                            TrafficClass.BOOKING, Duration.ofSeconds(30), upstream.address(), other.address()) {
                        @Override
                        public boolean maySend(String server, long nowNanos) {
                            return !server.equals(upstream.address());
                        }
                    };
            try (RawConnection caller = start(forwarding(forwarding))) {
                caller.send(GET);
                assertTrue(caller.readMessage().endsWith("ok"));
            }
            assertEquals(0, upstream.heads.size());
            assertEquals(1, other.heads.size());
            assertEquals(new TestForwarding.Attempt(AttemptOutcome.WITHHELD, false), forwarding.attempts.get(0));
        }
    }
}
