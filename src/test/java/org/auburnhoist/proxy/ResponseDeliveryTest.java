package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against responses of servers that reach callers truncated without being recognizable as such, or get lost. */
@Timeout(120)
class ResponseDeliveryTest extends ProxyTestBase {
    /** Guards against a truncated response that looks complete, for each kind of framing. */
    @Test
    void truncatedResponseNeverLooksComplete() throws Exception {
        List<String> responses = List.of(
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n-1\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\nhalf");
        for (String response : responses) {
            CountDownLatch requestSent = new CountDownLatch(1);
            try (RawUpstream truncating = new RawUpstream((connection, number) -> {
                connection.readHead();
                connection.send(response);
                requestSent.await();
                connection.reset();
            })) {
                TestForwarding forwarding = TestForwarding.lookup(truncating.address());
                try (RawConnection caller = start(forwarding(forwarding))) {
                    caller.send(GET);
                    requestSent.countDown();
                    assertThrows(IOException.class, caller::readMessage, response);
                }
                assertFalse(forwarding.awaitFinish().complete());
                assertEquals(
                        AttemptOutcome.TRUNCATED, forwarding.attempts.get(0).outcome());
            }
            proxy.close();
        }
    }

    /** Guards against losing the end of a response that the server ends by closing its connection. */
    @Test
    void forwardsResponsesDelimitedByConnectionClose() throws Exception {
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            connection.send("HTTP/1.0 200 OK\r\n\r\neverything");
        });
        try (RawConnection caller = start(lookups(upstream.address()))) {
            String response = caller.send(GET).readMessage();
            assertEquals("chunked", RawConnection.header(response, "Transfer-Encoding"));
            assertTrue(response.endsWith("everything"), response);
        }
    }

    /** Guards against a download that is lost, or combined from different contents, when its server fails. */
    @Test
    void truncatedDownloadResumesOnlyWithTheSameContent() throws Exception {
        String beginning = "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: 10\r\n\r\n01234";
        String remainder = "HTTP/1.1 206 Partial\r\nETag: \"v1\"\r\nContent-Range: bytes 5-9/10\r\n"
                + "Content-Length: 5\r\n\r\n56789";
        List<String> others = List.of(
                remainder.replace("v1", "v2"),
                remainder.replace("5-9/10", "4-8/10"),
                remainder.replace("5-9/10", "5-9/11"),
                beginning + "56789",
                "HTTP/1.1 416 No\r\nContent-Length: 0\r\n\r\n");
        try (RawUpstream truncating = new RawUpstream((connection, number) -> {
                    connection.readHead();
                    connection.send(beginning);
                });
                RawUpstream second = RawUpstream.responding(remainder)) {
            TestForwarding forwarding = TestForwarding.lookup(truncating.address(), second.address());
            try (RawConnection caller = start(forwarding(forwarding))) {
                assertTrue(caller.send(GET).readMessage().endsWith("\r\n\r\n0123456789"));
                assertEquals("bytes=5-", RawConnection.header(second.heads.get(0), "Range"));
                assertEquals("\"v1\"", RawConnection.header(second.heads.get(0), "If-Range"));
                assertEquals(new TestForwarding.Finish(200, null, null, true), forwarding.awaitFinish());
            }
            proxy.close();
            for (String other : others) {
                try (RawUpstream different = RawUpstream.responding(other);
                        RawConnection caller = start(lookups(truncating.address(), different.address()))) {
                    caller.send(GET);
                    assertThrows(IOException.class, caller::readMessage, other);
                }
                proxy.close();
            }
        }
    }

    /** Guards against a lost response when the server rejects a body before it has read it. */
    @Test
    void forwardsResponseReceivedBeforeEndOfRequestBody() throws Exception {
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            connection.send("HTTP/1.1 403 No\r\nContent-Length: 2\r\n\r\nno");
            // Closing with unread bytes would reset the connection, and the response could be lost in transit.
            while (connection.read() >= 0) {
                continue;
            }
        });
        try (RawConnection caller = start(lookups(upstream.address()))) {
            caller.send("POST /a HTTP/1.1\r\nHost: fleet\r\nContent-Length: 10000000\r\n\r\n");
            caller.send(new byte[200_000]);
            String response = caller.readMessage();
            assertTrue(response.startsWith("HTTP/1.1 403") && response.endsWith("no"), response);
            assertEquals("close", RawConnection.header(response, "Connection"));
        }
    }

    /** Guards against a caller that waits for the body of a response that has none. */
    @Test
    void forwardsResponsesWithoutBody() throws Exception {
        upstream = RawUpstream.responding("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
        try (RawConnection caller = start(lookups(upstream.address()))) {
            for (int count = 0; count < 3; count++) {
                String head =
                        caller.send("HEAD /a HTTP/1.1\r\nHost: fleet\r\n\r\n").readHead();
                assertEquals("7", RawConnection.header(head, "Content-Length"));
                awaitIdleConnection();
            }
            assertEquals(1, upstream.connections.get());
        }
    }

    /** Guards against a response whose framing could be interpreted in two ways. */
    @Test
    void rejectsAmbiguousResponses() throws Exception {
        upstream = RawUpstream.responding(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        try (RawConnection caller = start(lookups(upstream.address()))) {
            assertRefused(caller.send(GET).readMessage(), Refusal.UPSTREAM_FAILED);
        }
    }
}
