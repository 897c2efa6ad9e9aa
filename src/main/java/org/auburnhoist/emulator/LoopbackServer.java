package org.auburnhoist.emulator;

import java.io.IOException;
import java.net.InetAddress;
import java.net.URI;
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
    private final HttpRequestHandler handler;
    private final int port;
    private @Nullable HttpServer server;
    private @Nullable PortReservation reservation;

    LoopbackServer(int port, HttpRequestHandler handler) throws IOException {
        this.handler = handler;
        HttpServer first = start(port, handler);
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
        running.close(CloseMode.IMMEDIATE);
        server = null;
        reservation = new PortReservation(port);
    }

    /** Accepts connections again. */
    synchronized void accept() throws IOException {
        if (server != null) {
            return;
        }
        closeReservation();
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
