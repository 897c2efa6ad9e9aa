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
 * Guards against servers whose bytes never end: a connection, a slot and memory that are held for ever, and a caller
 * who takes a part for the whole.
 */
@Timeout(120)
class EndlessResponseTest extends ProxyTestBase {
    /** Bytes that never become an answer. */
    enum EndlessHead {
        STATUS_LINE("HTTP/1.1 200 ", "a".repeat(500)),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "a".repeat(500)),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-One: a\r\n".repeat(50)),
        INTERIM_ANSWERS("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n".repeat(10)),
        NO_HTTP("", "\u0001\u0002".repeat(250));

        final String start;
        final String repeated;

        EndlessHead(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    /** An answer that begins well and never ends. */
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
    void aHeadWithoutEndIsCutAndTheCallerToldThatTheOutcomeIsUnknown(EndlessHead kind) throws Exception {
        upstream = endless(kind.start, kind.repeated);
        TestForwarding forwarding = TestForwarding.booking(upstream.address());
        try (RawConnection caller = start(forwarding(forwarding))) {
            caller.send(GET);
            assertRefused(caller.readMessage(), Refusal.UPSTREAM_FAILED);
        }
        assertTrue(closedByProxy.await(60, TimeUnit.SECONDS));
        assertEquals(1, forwarding.attempts.size());
    }

    /** The time limit of the request ends the answer; the caller's connection breaks before the end of its framing. */
    @ParameterizedTest
    @EnumSource
    void aBodyWithoutEndNeverLooksComplete(EndlessBody kind) throws Exception {
        upstream = endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", kind.repeated);
        TestForwarding forwarding = limited(500);
        try (RawConnection caller = start(forwarding(forwarding))) {
            caller.send(GET);
            // The reset may overtake the head; either way the caller sees a broken connection.
            assertThrows(IOException.class, caller::readMessage);
        }
        assertTrue(closedByProxy.await(60, TimeUnit.SECONDS));
        assertFalse(forwarding.awaitFinish().complete());
    }

    @Test
    void aBodyWithoutLengthOrEndNeverLooksComplete() throws Exception {
        upstream = endless("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "a".repeat(2_000));
        TestForwarding forwarding = limited(500);
        try (RawConnection caller = start(forwarding(forwarding))) {
            caller.send(GET);
            String head = caller.readHead();
            assertThrows(IOException.class, () -> {
                caller.readBody(head);
                while (caller.read() >= 0) {
                    // Reads on until the connection breaks; an orderly end of such a body would look complete.
                }
            });
        }
        assertFalse(forwarding.awaitFinish().complete());
    }

    /** Bytes behind the declared end belong to no request, and the connection is not used again. */
    @Test
    void bytesWithoutEndBehindTheDeclaredLengthAreDropped() throws Exception {
        upstream = endless(OK, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
        TestForwarding forwarding = TestForwarding.lookup(upstream.address());
        try (RawConnection caller = start(forwarding(forwarding))) {
            caller.send(GET);
            assertTrue(caller.readMessage().endsWith("ok"));
        }
        assertTrue(closedByProxy.await(60, TimeUnit.SECONDS));
        assertEquals(0, proxy.pool().idleConnections(upstream.address()));
    }

    /** A lookup whose answer must have ended after a time. */
    private TestForwarding limited(long millis) {
        long limit = System.nanoTime() + Duration.ofMillis(millis).toNanos();
        return new TestForwarding(TrafficClass.LOOKUP, Duration.ofMillis(millis), upstream.address()) {
            @Override
            public long responseDeadlineNanos() {
                return limit;
            }
        };
    }
}
