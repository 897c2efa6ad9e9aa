package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.auburnhoist.store.ReadResult;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a store whose response has no end: the host would keep all of it and run out of memory. */
@Timeout(60)
class EndlessStoreResponseTest {
    /** More than the largest valid response and the buffers of a connection, and much less than a host's memory. */
    private static final long MAX_BYTES = 48L << 20;

    /** The part of a response that never ends. */
    enum EndlessPart {
        STATUS_LINE("HTTP/1.1 200 ", "a".repeat(1 << 16)),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "a".repeat(1 << 16)),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-One: a\r\n".repeat(1 << 12)),
        BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", " ".repeat(1 << 16)),
        BODY_WITH_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", " ".repeat(1 << 16)),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + " ".repeat(1 << 12) + "\r\n");

        final String start;
        final String repeated;

        EndlessPart(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    private final AtomicLong sentBytes = new AtomicLong();
    private final CountDownLatch closedByHost = new CountDownLatch(1);

    @ParameterizedTest
    @EnumSource
    void theConnectionIsClosedAndTheReadFailsWithinALimit(EndlessPart part) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> acceptAndSend(listener, part));
            thread.setDaemon(true);
            thread.start();
            try (KvStore store =
                    new KvStore(new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()))) {
                assertInstanceOf(ReadResult.Unavailable.class, store.get("a/b").get(30, TimeUnit.SECONDS));
                assertTrue(closedByHost.await(30, TimeUnit.SECONDS), "sent " + sentBytes + " bytes, none refused");
            }
        }
    }

    private void acceptAndSend(ServerSocket listener, EndlessPart part) {
        byte[] repeated = part.repeated.getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = listener.accept()) {
            socket.getOutputStream().write(part.start.getBytes(StandardCharsets.US_ASCII));
            while (sentBytes.addAndGet(repeated.length) < MAX_BYTES) {
                socket.getOutputStream().write(repeated);
            }
            // The host has kept everything so far; the test fails without filling its memory.
            new CountDownLatch(1).await();
        } catch (IOException closed) {
            closedByHost.countDown();
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
        }
    }
}
