package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against servers that never stop sending: the connection, the slot and memory would be held forever, or the
 * caller would take a partial response as complete.
 */
@Timeout(120)
class EndlessResponseTest extends ProxyTestBase {
    /** Bytes that never form a response. */
    enum EndlessHead {
        STATUS_LINE("HTTP/1.1 200 ", "a".repeat(500)),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "a".repeat(500)),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-One: a\r\n".repeat(50)),
        INTERIM_RESPONSES("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n".repeat(10)),
        NO_HTTP("", "\u0001\u0002".repeat(250));

        final String start;
        final String repeated;

        EndlessHead(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    /** Bytes after a valid response head that never end the body. */
    enum EndlessBody {
        CHUNKS_OF_ONE_BYTE("1\r\na\r\n"),
        CHUNK_SIZE_LINE("1;" + "a".repeat(400)),
        TRAILERS("0\r\n" + "X-One: a\r\n".repeat(40));

        final String repeated;

        EndlessBody(String repeated) {
            this.repeated = repeated;
        }
    }

    private final CountDownLatch closedByProxy = new CountDownLatch(1);

    private RawUpstream endless(String start, String repeated) throws IOException {
        return new RawUpstream((connection, number) -> {
            connection.readHead();
            connection.send(start);
            try {
                while (true) {
                    connection.send(repeated);
                }
            } catch (IOException closed) {
                closedByProxy.countDown();
            }
        });
    }

    @ParameterizedTest
    @EnumSource
    void endlessHeadIsCutOffAndOutcomeReportedAsUnknown(EndlessHead kind) throws Exception {
        upstream = endless(kind.start, kind.repeated);
        TestForwarding forwarding = TestForwarding.booking(upstream.address());
        try (RawConnection caller = start(forwarding(forwarding))) {
            caller.send(GET);
            assertRefused(caller.readMessage(), Refusal.UPSTREAM_FAILED);
        }
        assertTrue(closedByProxy.await(60, TimeUnit.SECONDS));
        assertEquals(1, forwarding.attempts.size());
    }

    /** The deadline of the response aborts it; the caller's connection breaks before the end of the framing. */
    @ParameterizedTest
    @EnumSource
    void endlessBodyNeverLooksComplete(EndlessBody kind) throws Exception {
        upstream = endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", kind.repeated);
        TestForwarding forwarding = withResponseLimit(500);
        try (RawConnection caller = start(forwarding(forwarding))) {
            caller.send(GET);
            // The reset may overtake the head; either way the caller sees a broken connection.
            assertThrows(IOException.class, caller::readMessage);
        }
        assertTrue(closedByProxy.await(60, TimeUnit.SECONDS));
        assertFalse(forwarding.awaitFinish().complete());
    }

    @Test
    void endlessBodyWithoutLengthNeverLooksComplete() throws Exception {
        upstream = endless("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "a".repeat(2_000));
        TestForwarding forwarding = withResponseLimit(500);
        try (RawConnection caller = start(forwarding(forwarding))) {
            caller.send(GET);
            String head = caller.readHead();
            assertThrows(IOException.class, () -> {
                caller.readBody(head);
                while (caller.read() >= 0) {
                    // Keeps reading until the connection breaks; an orderly end of such a body would look complete.
                }
            });
        }
        assertFalse(forwarding.awaitFinish().complete());
    }

    /** Bytes after the declared length belong to no request, and the connection is not reused. */
    @Test
    void endlessBytesAfterDeclaredLengthAreDropped() throws Exception {
        upstream = endless(OK, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
        TestForwarding forwarding = TestForwarding.lookup(upstream.address());
        try (RawConnection caller = start(forwarding(forwarding))) {
            caller.send(GET);
            assertTrue(caller.readMessage().endsWith("ok"));
        }
        assertTrue(closedByProxy.await(60, TimeUnit.SECONDS));
        assertEquals(0, proxy.pool().idleConnections(upstream.address()));
    }

    /** Creates a lookup whose response is limited to a time. */
    private TestForwarding withResponseLimit(long millis) {
        long limit = System.nanoTime() + Duration.ofMillis(millis).toNanos();
        return new TestForwarding(TrafficClass.LOOKUP, Duration.ofMillis(millis), upstream.address()) {
            @Override
            public long responseDeadlineNanos() {
                return limit;
            }
        };
    }
}
