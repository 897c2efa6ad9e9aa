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

/** An HTTP server on loopback that can refuse connections and later accept them again on the same port. */
final class LoopbackServer implements AutoCloseable {
    private static final int MAX_RESERVATION_ATTEMPTS = 1000;
    private static final long RESERVATION_RETRY_DELAY_NANOS = 2_000_000;

    private final HttpRequestHandler handler;
    private final int port;
    private volatile boolean refusing;
    private @Nullable HttpServer server;
    private @Nullable PortReservation reservation;

    LoopbackServer(int port, HttpRequestHandler handler) throws IOException {
        this.handler = (request, response, context) -> {
            if (refusing) {
                throw new IOException("the connection was accepted while the server was closing");
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
    synchronized void refuseConnections() {
        HttpServer running = server;
        if (running == null) {
            return;
        }
        refusing = true;
        running.close(CloseMode.IMMEDIATE);
        server = null;
        reservation = reservePort();
    }

    /** Accepts connections again. */
    synchronized void acceptConnections() throws IOException {
        if (server != null) {
            return;
        }
        releasePort();
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
        releasePort();
    }

    /** Retries until the acceptor thread has closed the old listening socket; null if it does not close in time. */
    private @Nullable PortReservation reservePort() {
        PortReservation reserved = PortReservation.tryReserve(port);
        for (int attempt = 1; reserved == null && attempt < MAX_RESERVATION_ATTEMPTS; attempt++) {
            LockSupport.parkNanos(RESERVATION_RETRY_DELAY_NANOS);
            reserved = PortReservation.tryReserve(port);
        }
        return reserved;
    }

    private void releasePort() {
        PortReservation reserved = reservation;
        reservation = null;
        if (reserved != null) {
            reserved.close();
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
                .setExceptionListener(new IgnoringExceptionListener())
                // A router by host name would refuse requests whose Host header is an IP address.
                .setRequestRouter((request, context) -> handler)
                .create();
        started.start();
        return started;
    }
}
