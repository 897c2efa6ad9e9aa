package org.auburnhoist.proxy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * Open connections to upstream servers, at most a given number for each server address.
 *
 * <p>Leases that exceed the limit wait in order. A connection returns to the pool only after a complete exchange; after
 * any doubt it is closed.
 */
final class UpstreamPool implements AutoCloseable {
    /** Receives a connection or the reason why there is none; called without locks held. */
    interface LeaseRequest {
        /** Whether the connection must be a new one. */
        boolean needsNewConnection();

        /** Returns false if the connection is not wanted any more. */
        boolean leased(UpstreamConnection connection);

        /** The connection could not be opened. */
        void connectFailed(Exception cause);
    }

    private static final class ServerConnections {
        private int limit;
        private int open;
        private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
        private final Deque<LeaseRequest> waiting = new ArrayDeque<>();
    }

    /** Select calls end by events; the interval bounds how late an expired connection attempt is seen. */
    private static final long SELECT_INTERVAL_MILLIS = 150;

    private final ProxySettings settings;
    private final DefaultConnectingIOReactor reactor;
    private final Map<String, ServerConnections> servers = new HashMap<>();

    UpstreamPool(ProxySettings settings) {
        this.settings = settings;
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(settings.upstreamThreads)
                .setTcpNoDelay(true)
                .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                .build();
        reactor = new DefaultConnectingIOReactor(
                new UpstreamConnectionFactory(settings, this),
                config,
                ProxyServer.threads("upstream-io"),
                null,
                ProxyServer::ioFailure,
                null,
                null);
        reactor.start();
    }

    /** How long connections are kept idle to servers that do not say how long they keep them. */
    long standardIdleNanos() {
        return settings.upstreamIdleExpiry.toNanos();
    }

    /** Addresses to which a connection is open that waits for its next request. */
    synchronized Set<String> idleAddresses(long nowNanos) {
        Set<String> result = new HashSet<>();
        servers.forEach((address, server) -> {
            UpstreamConnection newest = server.idle.peekLast();
            if (newest != null && !newest.isIdleTooLong(nowNanos)) {
                result.add(address);
            }
        });
        return result;
    }

    void lease(String address, int limit, long nowNanos, LeaseRequest lease) {
        UpstreamConnection reused = null;
        UpstreamConnection victim = null;
        synchronized (this) {
            ServerConnections server = servers.computeIfAbsent(address, key -> new ServerConnections());
            server.limit = Math.max(1, limit);
            if (!lease.needsNewConnection()) {
                reused = takeIdle(server, nowNanos);
            }
            if (reused == null) {
                if (server.open < server.limit) {
                    server.open++;
                } else if (!server.idle.isEmpty()) {
                    victim = server.idle.removeFirst();
                    victim.place = UpstreamConnection.PoolState.CLOSED;
                } else {
                    server.waiting.add(lease);
                    return;
                }
            }
        }
        if (victim != null) {
            victim.close();
        }
        if (reused != null) {
            give(reused, lease);
        } else {
            connect(address, lease);
        }
    }

    /** Forgets a waiting lease. */
    synchronized void cancel(String address, LeaseRequest lease) {
        ServerConnections server = servers.get(address);
        if (server != null) {
            server.waiting.remove(lease);
        }
    }

    /** Returns a connection after a complete exchange. */
    void release(UpstreamConnection connection, long nowNanos) {
        LeaseRequest next = null;
        synchronized (this) {
            ServerConnections server = servers.get(connection.address);
            if (server == null || connection.place != UpstreamConnection.PoolState.LEASED) {
                return;
            }
            LeaseRequest first = server.waiting.peek();
            if (first != null && !first.needsNewConnection() && server.open <= server.limit) {
                next = server.waiting.remove();
            } else if (first == null && server.open <= server.limit) {
                connection.place = UpstreamConnection.PoolState.IDLE;
                connection.idleSinceNanos = nowNanos;
                server.idle.addLast(connection);
                return;
            }
        }
        if (next == null) {
            discard(connection);
        } else {
            give(connection, next);
        }
    }

    /** Closes a connection, whatever its state. */
    void discard(UpstreamConnection connection) {
        LeaseRequest next = null;
        synchronized (this) {
            ServerConnections server = servers.get(connection.address);
            if (server != null && connection.place != UpstreamConnection.PoolState.CLOSED) {
                server.idle.remove(connection);
                next = permitReturned(connection.address, server);
            }
            connection.place = UpstreamConnection.PoolState.CLOSED;
        }
        connection.close();
        if (next != null) {
            connect(connection.address, next);
        }
    }

    /** Closes connections that have been idle for too long. */
    void closeIdle(long nowNanos) {
        List<UpstreamConnection> expired = new ArrayList<>();
        synchronized (this) {
            for (ServerConnections server : servers.values()) {
                for (UpstreamConnection connection : server.idle) {
                    if (connection.isIdleTooLong(nowNanos)) {
                        expired.add(connection);
                    }
                }
            }
        }
        expired.forEach(this::discardIfIdle);
    }

    private void discardIfIdle(UpstreamConnection connection) {
        synchronized (this) {
            ServerConnections server = servers.get(connection.address);
            if (server == null || !server.idle.remove(connection)) {
                return;
            }
            connection.place = UpstreamConnection.PoolState.LEASED;
        }
        discard(connection);
    }

    /** Open connections to a server, including those being opened. */
    synchronized int openConnections(String address) {
        ServerConnections server = servers.get(address);
        return server == null ? 0 : server.open;
    }

    /** Open connections to a server that wait for their next request. */
    synchronized int idleConnections(String address) {
        ServerConnections server = servers.get(address);
        return server == null ? 0 : server.idle.size();
    }

    @Override
    public void close() {
        reactor.close(CloseMode.IMMEDIATE);
    }

    private static @Nullable UpstreamConnection takeIdle(ServerConnections server, long nowNanos) {
        UpstreamConnection newest = server.idle.peekLast();
        if (newest == null || newest.isIdleTooLong(nowNanos)) {
            return null;
        }
        server.idle.removeLast();
        newest.place = UpstreamConnection.PoolState.LEASED;
        return newest;
    }

    /** Passes the permit of a closed connection to the next waiting lease; the caller holds the lock. */
    private @Nullable LeaseRequest permitReturned(String address, ServerConnections server) {
        LeaseRequest next = server.open <= server.limit ? server.waiting.poll() : null;
        if (next == null) {
            server.open--;
            if (server.open == 0 && server.waiting.isEmpty()) {
                servers.remove(address);
            }
        }
        return next;
    }

    private void give(UpstreamConnection connection, LeaseRequest lease) {
        if (!lease.leased(connection)) {
            release(connection, connection.idleSinceNanos);
        }
    }

    private void connect(String address, LeaseRequest lease) {
        try {
            int colon = address.lastIndexOf(':');
            InetAddress ip = InetAddress.getByName(address.substring(0, Math.max(0, colon)));
            int port = Integer.parseInt(address.substring(colon + 1));
            Future<IOSession> unused = reactor.connect(
                    new HttpHost("http", ip, ip.getHostAddress(), port),
                    new InetSocketAddress(ip, port),
                    null,
                    Timeout.of(settings.connectTimeout),
                    address,
                    new ConnectResult(address, lease));
        } catch (UnknownHostException | RuntimeException cause) {
            connectFailed(address, lease, cause);
        }
    }

    private void connectFailed(String address, LeaseRequest lease, Exception cause) {
        LeaseRequest next = null;
        synchronized (this) {
            ServerConnections server = servers.get(address);
            if (server != null) {
                next = permitReturned(address, server);
            }
        }
        lease.connectFailed(cause);
        if (next != null) {
            connect(address, next);
        }
    }

    private final class ConnectResult implements FutureCallback<IOSession> {
        private final String address;
        private final LeaseRequest lease;

        private ConnectResult(String address, LeaseRequest lease) {
            this.address = address;
            this.lease = lease;
        }

        @Override
        public void completed(IOSession session) {
            if (session.getHandler() instanceof UpstreamConnection connection) {
                give(connection, lease);
            } else {
                session.close(CloseMode.IMMEDIATE);
                connectFailed(address, lease, new IllegalStateException("handler: expected an upstream connection"));
            }
        }

        @Override
        public void failed(Exception cause) {
            connectFailed(address, lease, cause);
        }

        @Override
        public void cancelled() {
            connectFailed(address, lease, new IllegalStateException("connect: cancelled"));
        }
    }
}
