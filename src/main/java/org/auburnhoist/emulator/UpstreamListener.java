package org.auburnhoist.emulator;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.jspecify.annotations.Nullable;

/** The listening port and the open connections of one emulated server. */
final class UpstreamListener {
    /** The reactor's thread closes the old listening socket asynchronously, so the port stays in use for a moment. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);

    private final HttpAsyncServer reactor;
    private final UpstreamEmulator emulator;
    private final int connectionLimit;
    private final Set<IOSession> sessions = ConcurrentHashMap.newKeySet();
    private final int port;
    private @Nullable ListenerEndpoint endpoint;
    private @Nullable PortReservation reservation;
    private volatile boolean refusing;

    UpstreamListener(HttpAsyncServer reactor, UpstreamEmulator emulator, UpstreamSpec spec)
            throws InterruptedException, ExecutionException {
        this.reactor = reactor;
        this.emulator = emulator;
        this.connectionLimit = spec.connectionLimit();
        ListenerEndpoint first = listen(spec.port());
        this.endpoint = first;
        this.port = ((InetSocketAddress) first.getAddress()).getPort();
    }

    int port() {
        return port;
    }

    int openConnections() {
        return sessions.size();
    }

    void connected(IOSession session) {
        sessions.add(session);
        if (refusing || sessions.size() > connectionLimit) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    void disconnected(IOSession session) {
        sessions.remove(session);
    }

    /** Resets all connections and refuses new ones. */
    synchronized void refuseConnections() {
        refusing = true;
        ListenerEndpoint listening = endpoint;
        if (listening != null) {
            listening.close(CloseMode.IMMEDIATE);
            endpoint = null;
            reservePort();
        }
        sessions.forEach(session -> session.close(CloseMode.IMMEDIATE));
    }

    /** Reserves the port; retries until the reactor's thread has closed the old listening socket. */
    private synchronized void reservePort() {
        if (!refusing || reservation != null) {
            return;
        }
        reservation = PortReservation.tryReserve(port);
        if (reservation == null) {
            Future<?> unused = emulator.schedule(RETRY_DELAY, this::reservePort);
        }
    }

    /** Listens again on the same port; retries if the port is still in use. */
    synchronized void acceptConnections() {
        if (endpoint != null) {
            return;
        }
        PortReservation reserved = reservation;
        reservation = null;
        if (reserved != null) {
            reserved.close();
        }
        try {
            endpoint = listen(port);
            refusing = false;
        } catch (ExecutionException cause) {
            Future<?> unused = emulator.schedule(RETRY_DELAY, this::acceptConnections);
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
        }
    }

    private ListenerEndpoint listen(int number) throws InterruptedException, ExecutionException {
        return reactor.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), number), URIScheme.HTTP)
                .get();
    }
}
