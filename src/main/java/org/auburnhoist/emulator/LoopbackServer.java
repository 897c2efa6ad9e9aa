package org.auburnhoist.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.URI;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** An HTTP server on loopback that can refuse connections and accept them again at the same port. */
final class LoopbackServer implements AutoCloseable {
    private static final int RESERVATION_ATTEMPTS = 1000;
    private static final long RESERVATION_PAUSE_NANOS = 2_000_000;

    private final HttpRequestHandler handler;
    private final int port;
    private volatile boolean refusing;
    private @Nullable HttpServer server;
    private @Nullable PortReservation reservation;

    LoopbackServer(int port, HttpRequestHandler handler) throws IOException {
        this.handler = (request, response, context) -> {
            if (refusing) {
                throw new IOException("a connection accepted while the server closed is not served");
            }
            handler.handle(request, response, context);
        };
        HttpServer first = start(port, this.handler);
        this.server = first;
        this.port = first.getLocalPort();
    }

    URI address() {
        return URI.create("http://127.0.0.1:" + port);
    }

    /** Closes all connections and refuses new ones. */
    synchronized void refuse() {
        HttpServer running = server;
        if (running == null) {
            return;
        }
        refusing = true;
        running.close(CloseMode.IMMEDIATE);
        server = null;
        reservation = reserve();
    }

    /** Accepts connections again. */
    synchronized void accept() throws IOException {
        if (server != null) {
            return;
        }
        closeReservation();
        refusing = false;
        server = start(port, handler);
    }

    @Override
    public synchronized void close() {
        HttpServer running = server;
        if (running != null) {
            running.close(CloseMode.IMMEDIATE);
            server = null;
        }
        closeReservation();
    }

    /** Waits until the accepting thread has let go of the old listening socket. */
    private @Nullable PortReservation reserve() {
        PortReservation held = PortReservation.tryReserve(port);
        for (int attempt = 1; held == null && attempt < RESERVATION_ATTEMPTS; attempt++) {
            LockSupport.parkNanos(RESERVATION_PAUSE_NANOS);
            held = PortReservation.tryReserve(port);
        }
        return held;
    }

    private void closeReservation() {
        PortReservation held = reservation;
        reservation = null;
        if (held != null) {
            held.close();
        }
    }

    private static HttpServer start(int port, HttpRequestHandler handler) throws IOException {
        HttpServer started = ServerBootstrap.bootstrap()
                .setLocalAddress(InetAddress.getLoopbackAddress())
                .setListenerPort(port)
                .setSocketConfig(SocketConfig.custom()
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setSoTimeout(Timeout.DISABLED)
                        .setSoLinger(TimeValue.NEG_ONE_SECOND)
                        .build())
                .setExceptionListener(new IgnoredExceptions())
                // A router by host name would refuse requests that name the host by its address.
                .setRequestRouter((request, context) -> handler)
                .create();
        started.start();
        return started;
    }
}
