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

/** How answers of servers reach callers: whole, recognisably broken off, or not at all. */
@Timeout(120)
class ResponseDeliveryTest extends ProxyTestBase {
    /** Guards against a truncated answer that looks complete, for each way of framing. */
    @Test
    void truncatedAnswerNeverLooksComplete() throws Exception {
        List<String> answers = List.of(
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n-1\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\nhalf");
        for (String answer : answers) {
            CountDownLatch passedOn = new CountDownLatch(1);
            try (RawUpstream truncating = new RawUpstream((connection, number) -> {
                connection.readHead();
                connection.send(answer);
                passedOn.await();
                connection.reset();
            })) {
                TestForwarding forwarding = TestForwarding.lookup(truncating.address());
                try (RawConnection caller = start(forwarding(forwarding))) {
                    caller.send(GET);
                    passedOn.countDown();
                    assertThrows(IOException.class, caller::readMessage, answer);
                }
                assertFalse(forwarding.awaitFinish().complete());
                assertEquals(
                        AttemptOutcome.TRUNCATED, forwarding.attempts.get(0).outcome());
            }
            proxy.close();
        }
    }

    /** Guards against a lost end of an answer that the server ends by closing its connection. */
    @Test
    void passesOnAnswersThatEndWithTheConnection() throws Exception {
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            connection.send("HTTP/1.0 200 OK\r\n\r\neverything");
        });
        try (RawConnection caller = start(lookups(upstream.address()))) {
            String answer = caller.send(GET).readMessage();
            assertEquals("chunked", RawConnection.header(answer, "Transfer-Encoding"));
            assertTrue(answer.endsWith("everything"), answer);
        }
    }

    /** Guards against a download that is lost, or joined from different contents, when its server fails. */
    @Test
    void truncatedDownloadResumesOnlyWithTheSameContent() throws Exception {
        String begin = "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\nContent-Length: 10\r\n\r\n01234";
        String rest = "HTTP/1.1 206 Partial\r\nETag: \"v1\"\r\nContent-Range: bytes 5-9/10\r\n"
                + "Content-Length: 5\r\n\r\n56789";
        List<String> others = List.of(
                rest.replace("v1", "v2"),
                rest.replace("5-9/10", "4-8/10"),
                rest.replace("5-9/10", "5-9/11"),
                begin + "56789",
                "HTTP/1.1 416 No\r\nContent-Length: 0\r\n\r\n");
        try (RawUpstream truncating = new RawUpstream((connection, number) -> {
                    connection.readHead();
                    connection.send(begin);
                });
                RawUpstream second = RawUpstream.answering(rest)) {
            TestForwarding forwarding = TestForwarding.lookup(truncating.address(), second.address());
            try (RawConnection caller = start(forwarding(forwarding))) {
                assertTrue(caller.send(GET).readMessage().endsWith("\r\n\r\n0123456789"));
                assertEquals("bytes=5-", RawConnection.header(second.heads.get(0), "Range"));
                assertEquals("\"v1\"", RawConnection.header(second.heads.get(0), "If-Range"));
                assertEquals(new TestForwarding.Finish(200, null, null, true), forwarding.awaitFinish());
            }
            proxy.close();
            for (String other : others) {
                try (RawUpstream different = RawUpstream.answering(other);
                        RawConnection caller = start(lookups(truncating.address(), different.address()))) {
                    caller.send(GET);
                    assertThrows(IOException.class, caller::readMessage, other);
                }
                proxy.close();
            }
        }
    }

    /** Guards against a lost answer when the server refuses a body before it has read it. */
    @Test
    void passesOnAnAnswerThatComesBeforeTheEndOfTheBody() throws Exception {
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            connection.send("HTTP/1.1 403 No\r\nContent-Length: 2\r\n\r\nno");
            // Closing with unread bytes would reset the connection, which may destroy the answer on its way.
            while (connection.read() >= 0) {
                continue;
            }
        });
        try (RawConnection caller = start(lookups(upstream.address()))) {
            caller.send("POST /a HTTP/1.1\r\nHost: fleet\r\nContent-Length: 10000000\r\n\r\n");
            caller.send(new byte[200_000]);
            String answer = caller.readMessage();
            assertTrue(answer.startsWith("HTTP/1.1 403") && answer.endsWith("no"), answer);
            assertEquals("close", RawConnection.header(answer, "Connection"));
        }
    }

    /** Guards against a caller that waits for the body of an answer that has none. */
    @Test
    void passesOnAnswersWithoutBody() throws Exception {
        upstream = RawUpstream.answering("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
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

    /** Guards against an answer whose framing could be read in two ways. */
    @Test
    void refusesAmbiguousAnswers() throws Exception {
        upstream = RawUpstream.answering(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        try (RawConnection caller = start(lookups(upstream.address()))) {
            assertRefused(caller.send(GET).readMessage(), Refusal.UPSTREAM_FAILED);
        }
    }
}
