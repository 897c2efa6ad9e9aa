package org.auburnhoist.support;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A server whose response has no end; it stops after a number of bytes that no client should have accepted. */
public final class EndlessServer implements AutoCloseable {
    /** More than the largest valid response and the buffers of a connection, and much less than a host's memory. */
    private static final long MAX_BYTES = 48L << 20;

    private final ServerSocket listener;
    private final byte[] start;
    private final byte[] repeated;
    private final AtomicLong sentBytes = new AtomicLong();
    private final CountDownLatch closedByClient = new CountDownLatch(1);
    private final CountDownLatch allSent = new CountDownLatch(1);

    /** Starts the server, which sends {@code start} and then {@code repeated} for ever on its only connection. */
    public EndlessServer(String start, String repeated) throws IOException {
        this.start = start.getBytes(StandardCharsets.US_ASCII);
        this.repeated = repeated.getBytes(StandardCharsets.US_ASCII);
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptAndSend, "endless-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** The address of the server. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
    }

    /** Waits up to 30 s for the client to close the connection, and returns whether it did. */
    public boolean awaitClosedByClient() throws InterruptedException {
        return closedByClient.await(30, TimeUnit.SECONDS);
    }

    /** Waits up to 30 s until all bytes were sent, and returns whether they were. */
    public boolean awaitAllSent() throws InterruptedException {
        return allSent.await(30, TimeUnit.SECONDS);
    }

    /** Number of bytes sent so far. */
    public long sentBytes() {
        return sentBytes.get();
    }

    private void acceptAndSend() {
        try (listener;
                Socket socket = listener.accept()) {
            socket.getOutputStream().write(start);
            while (sentBytes.addAndGet(repeated.length) < MAX_BYTES) {
                socket.getOutputStream().write(repeated);
            }
            allSent.countDown();
            // The client has refused nothing so far; a test that expects it to fails without filling its memory.
            new CountDownLatch(1).await();
        } catch (IOException closed) {
            closedByClient.countDown();
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
