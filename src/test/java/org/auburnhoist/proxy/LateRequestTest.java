package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncPushProducer;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.reactor.IOSession;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that a stopping host passes on or keeps, and then cuts without an answer when it ends. */
@Timeout(60)
class LateRequestTest extends ProxyTestBase {
    private static final String POST = "POST /book HTTP/1.1\r\nHost: fleet\r\nContent-Length: 2\r\n\r\nhi";

    /** A request on a connection that was open before would run, and nobody would wait for its response. */
    @Test
    void aRequestOnAKeptConnectionIsRefusedAsNotRunOnceTheHostAcceptsNoMore() throws Exception {
        upstream = RawUpstream.responding(OK);
        RequestPolicy bookings = (head, now) ->
                CompletableFuture.completedFuture(new Admission.Forwarded(TestForwarding.booking(upstream.address())));
        try (RawConnection caller = start(bookings)) {
            assertTrue(caller.send(POST).readMessage().endsWith("ok"));
            proxy.stopAccepting(System.nanoTime());
            String response = caller.send(POST).readMessage();
            assertRefused(response, Refusal.HOST_STOPPING);
            assertEquals("close", RawConnection.header(response, "Connection"), response);
            assertNull(caller.readHead());
            assertEquals(1, upstream.heads.size(), "requests that reached the server");
            assertTrue(proxy.close(Duration.ofSeconds(30)), "all requests have ended");
        }
    }

    /** A request that waits for a server when the host ends has not run, and the caller has to learn that. */
    @Test
    void aRequestThatWaitsForAServerIsRefusedAsNotRunWhenTheHostEnds() throws Exception {
        CountDownLatch waiting = new CountDownLatch(1);
        CompletableFuture<Forwarding.Target> granted = new CompletableFuture<>();
        TestForwarding forwarding = new TestForwarding(TrafficClass.BOOKING, Duration.ofSeconds(60)) {
            @Override
            public CompletionStage<Target> nextTarget(long nowNanos) {
                waiting.countDown();
                return granted;
            }
        };
        try (RawConnection caller = start(forwarding(forwarding))) {
            caller.send(POST);
            assertTrue(waiting.await(30, TimeUnit.SECONDS));
            proxy.stopAccepting(System.nanoTime());
            proxy.endRequests();
            assertRefused(caller.readMessage(), Refusal.HOST_STOPPING);
            assertNull(caller.readHead());
        }
        // A slot that is granted too late is returned unused.
        granted.complete(new Forwarding.Target.ServerTarget("late", "127.0.0.1:9", 1));
        assertEquals(1, forwarding.attempts.size());
        assertEquals(false, forwarding.attempts.get(0).sent());
    }

    /** A caller whose request is at a server when the host ends has to learn that its outcome is unknown. */
    @Test
    void aRequestAtAServerGetsAnAnswerThatItsOutcomeIsUnknownWhenTheHostEnds() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        upstream = new RawUpstream((connection, number) -> {
            connection.readBody(upstream.readHead(connection));
            received.countDown();
            connection.read();
        });
        try (RawConnection caller = start(forwarding(TestForwarding.booking(upstream.address())))) {
            caller.send(POST);
            assertTrue(received.await(30, TimeUnit.SECONDS));
            proxy.stopAccepting(System.nanoTime());
            proxy.endRequests();
            assertRefused(caller.readMessage(), Refusal.UPSTREAM_TIMEOUT);
        }
    }

    /**
     * A booking whose body ends after the host accepts no more would begin too late to be answered before the host
     * ends.
     */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 2\r\n\r\nh|i", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi|\r\n0\r\n\r\n"})
    void aRequestWhoseBodyEndsOnceTheHostAcceptsNoMoreIsRefusedAsNotRun(String framing) throws Exception {
        upstream = RawUpstream.responding(OK);
        CountDownLatch admitted = new CountDownLatch(1);
        RequestPolicy bookings = (head, now) -> {
            admitted.countDown();
            return CompletableFuture.completedFuture(
                    new Admission.Forwarded(TestForwarding.booking(upstream.address())));
        };
        String[] parts = framing.split("\\|");
        try (RawConnection caller = start(bookings)) {
            caller.send("POST /book HTTP/1.1\r\nHost: fleet\r\n" + parts[0]);
            assertTrue(admitted.await(30, TimeUnit.SECONDS));
            proxy.stopAccepting(System.nanoTime());
            assertRefused(caller.send(parts[1]).readMessage(), Refusal.HOST_STOPPING);
            assertNull(caller.readHead());
            assertEquals(0, upstream.heads.size(), "requests that reached the server");
            assertTrue(proxy.close(Duration.ofSeconds(30)), "all requests have ended");
        }
    }

    /** A server that gets the end of a long body too late would work on a request that nobody waits for. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aServerDoesNotGetTheEndOfABodyOnceTheHostAcceptsNoMore(boolean chunked) throws Exception {
        int half = 2 * CallerExchange.READ_AHEAD_BYTES;
        CountDownLatch received = new CountDownLatch(1);
        CompletableFuture<Boolean> whole = new CompletableFuture<>();
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            StringBuilder body = new StringBuilder();
            int next = 0;
            while (next >= 0 && !isWhole(body, chunked, 2 * half)) {
                next = readOrEnd(connection);
                body.append((char) next);
                if (body.length() == half) {
                    received.countDown();
                }
            }
            whole.complete(next >= 0);
            connection.send(OK);
        });
        String content = "x".repeat(half);
        try (RawConnection caller = start(forwarding(TestForwarding.booking(upstream.address())))) {
            caller.send("POST /book HTTP/1.1\r\nHost: fleet\r\n"
                    + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(2 * half) + "\r\n" : "")
                    + (chunked ? "" : "Content-Length: " + 2 * half + "\r\n\r\n")
                    + content);
            assertTrue(received.await(30, TimeUnit.SECONDS));
            proxy.stopAccepting(System.nanoTime());
            caller.send(content + (chunked ? "\r\n0\r\n\r\n" : ""));
            assertRefused(caller.readMessage(), Refusal.UPSTREAM_TIMEOUT);
            assertFalse(whole.get(30, TimeUnit.SECONDS), "the server got the whole body");
        }
    }

    /** A caller must not be refused a request that its deadline ends before the host does. */
    @Test
    void aRequestThatIsSureToEndBeforeTheHostIsServedAlthoughItsBodyEndsLate() throws Exception {
        upstream = RawUpstream.responding(OK);
        CountDownLatch admitted = new CountDownLatch(1);
        TestForwarding forwarding =
                new TestForwarding(TrafficClass.BOOKING, Duration.ofSeconds(60), upstream.address()) {
                    @Override
                    public long responseDeadlineNanos() {
                        return deadlineNanos();
                    }
                };
        RequestPolicy policy = (head, now) -> {
            admitted.countDown();
            return CompletableFuture.completedFuture(new Admission.Forwarded(forwarding));
        };
        try (RawConnection caller = start(policy)) {
            caller.send("POST /book HTTP/1.1\r\nHost: fleet\r\nContent-Length: 2\r\n\r\nh");
            assertTrue(admitted.await(30, TimeUnit.SECONDS));
            proxy.stopAccepting(forwarding.deadlineNanos());
            assertTrue(caller.send("i").readMessage().endsWith("ok"));
        }
    }

    /**
     * A request whose last byte is passed on just before the host accepts no more is at work at its server, which a
     * decision at the end of the stream would come too late for.
     */
    @Test
    void aRequestWhoseLastByteIsPassedOnBeforeTheHostAcceptsNoMoreGetsItsServersAnswer() throws Exception {
        byte[] half = new byte[2 * CallerExchange.READ_AHEAD_BYTES];
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch finished = new CountDownLatch(1);
        upstream = new RawUpstream((connection, number) -> {
            connection.readBody(upstream.readHead(connection));
            received.countDown();
            assertTrue(finished.await(30, TimeUnit.SECONDS));
            connection.send(OK);
        });
        start(forwarding(TestForwarding.booking(upstream.address()))).close();
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        CallerExchange exchange = new CallerExchange(new CallerConnection(inertSession(), proxy));
        BasicHttpRequest request = new BasicHttpRequest("POST", "/book");
        request.setHeader("Host", "fleet");
        request.setHeader("Content-Length", 2 * half.length);
        EntityDetails entity = new BasicEntityDetails(2 * half.length, null);
        exchange.handleRequest(request, entity, new AnswerChannel(answer), HttpCoreContext.create());
        exchange.consume(ByteBuffer.wrap(half));
        exchange.updateCapacity(increment -> {});
        exchange.consume(ByteBuffer.wrap(half));
        assertTrue(received.await(30, TimeUnit.SECONDS));
        proxy.stopAccepting(System.nanoTime());
        exchange.streamEnd(null);
        finished.countDown();
        assertEquals(200, answer.get(30, TimeUnit.SECONDS).getCode());
    }

    /** A booking that was read in time would begin too late if the decision about it came after the last check. */
    @Test
    void aBookingThatIsAdmittedOnceTheHostAcceptsNoMoreIsRefusedAsNotRun() throws Exception {
        upstream = RawUpstream.responding(OK);
        CompletableFuture<Admission> admission = new CompletableFuture<>();
        CountDownLatch asked = new CountDownLatch(1);
        RequestPolicy late = (head, now) -> {
            asked.countDown();
            return admission;
        };
        try (RawConnection caller = start(late)) {
            caller.send(POST);
            assertTrue(asked.await(30, TimeUnit.SECONDS));
            proxy.stopAccepting(System.nanoTime());
            admission.complete(new Admission.Forwarded(TestForwarding.booking(upstream.address())));
            assertRefused(caller.readMessage(), Refusal.HOST_STOPPING);
            assertEquals(0, upstream.heads.size(), "requests that reached the server");
        }
    }

    /** A booking that waits for the response to an earlier one would begin too late once that one has ended. */
    @Test
    void aBookingBehindAnotherOneIsRefusedAsNotRunIfItsTurnComesOnceTheHostAcceptsNoMore() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch finished = new CountDownLatch(1);
        upstream = new RawUpstream((connection, number) -> {
            connection.readBody(upstream.readHead(connection));
            received.countDown();
            assertTrue(finished.await(30, TimeUnit.SECONDS));
            connection.send(OK);
        });
        CountDownLatch admitted = new CountDownLatch(2);
        RequestPolicy bookings = (head, now) -> {
            admitted.countDown();
            return CompletableFuture.completedFuture(
                    new Admission.Forwarded(TestForwarding.booking(upstream.address())));
        };
        try (RawConnection caller = start(bookings)) {
            caller.send(POST + POST);
            assertTrue(received.await(30, TimeUnit.SECONDS));
            assertTrue(admitted.await(30, TimeUnit.SECONDS));
            proxy.stopAccepting(System.nanoTime());
            finished.countDown();
            assertTrue(caller.readMessage().endsWith("ok"));
            assertRefused(caller.readMessage(), Refusal.HOST_STOPPING);
            assertEquals(1, upstream.heads.size(), "requests that reached the server");
        }
    }

    /** A caller that was told to send its body would have its booking begin too late. */
    @Test
    void aBookingWhoseCallerWaitedToSendItsBodyIsRefusedAsNotRunOnceTheHostAcceptsNoMore() throws Exception {
        upstream = RawUpstream.responding(OK);
        RequestPolicy bookings = (head, now) ->
                CompletableFuture.completedFuture(new Admission.Forwarded(TestForwarding.booking(upstream.address())));
        try (RawConnection caller = start(bookings)) {
            caller.send(POST.replace("\r\n\r\nhi", "\r\nExpect: 100-continue\r\n\r\n"));
            assertTrue(caller.readHead().startsWith("HTTP/1.1 100"));
            proxy.stopAccepting(System.nanoTime());
            assertRefused(caller.send("hi").readMessage(), Refusal.HOST_STOPPING);
            assertEquals(0, upstream.heads.size(), "requests that reached the server");
        }
    }

    /** A session without a socket, whose methods do nothing. */
    private static IOSession inertSession() {
        return (IOSession) Proxy.newProxyInstance(
                IOSession.class.getClassLoader(),
                new Class<?>[] {IOSession.class},
                (session, method, arguments) -> method.getReturnType() == int.class ? (Object) 0 : null);
    }

    /** Keeps the response. */
    private record AnswerChannel(CompletableFuture<HttpResponse> answer) implements ResponseChannel {
        @Override
        public void sendInformation(HttpResponse response, HttpContext context) {
            throw new UnsupportedOperationException("no interim response is expected");
        }

        @Override
        public void sendResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
            answer.complete(response);
        }

        @Override
        public void pushPromise(HttpRequest promise, AsyncPushProducer producer, HttpContext context) {
            throw new UnsupportedOperationException("no push is expected");
        }
    }

    private static boolean isWhole(StringBuilder body, boolean chunked, int length) {
        return chunked
                ? body.length() > length && body.substring(body.length() - 7).equals("\r\n0\r\n\r\n")
                : body.length() == length;
    }

    /** Reads one byte; -1 also if the connection is reset. */
    private static int readOrEnd(RawConnection connection) {
        try {
            return connection.read();
        } catch (IOException reset) {
            return -1;
        }
    }

    /** An idle connection that is reset could lose the response that its caller has not read yet. */
    @Test
    void idleConnectionsEndInOrderAfterTheLastResponse() throws Exception {
        upstream = RawUpstream.responding(OK);
        try (RawConnection caller = start(lookups(upstream.address(), upstream.address()))) {
            assertTrue(caller.send(GET).readMessage().endsWith("ok"));
            while (proxy.requestsInProgress() > 0) {
                // The caller may have the response before the host has ended the request.
                Thread.onSpinWait();
            }
            proxy.closeIdleConnections();
            assertNull(caller.readHead());
            caller.send(GET);
        }
        assertEquals(1, upstream.heads.size(), "requests that reached the server");
    }
}
