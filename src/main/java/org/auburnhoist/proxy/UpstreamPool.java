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
import java.util.concurrent.ThreadFactory;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.auburnhoist.support.WatchedPart;
import org.jspecify.annotations.Nullable;

/**
 * Pool of connections to upstream servers, with a maximum number of connections for each server address.
 *
 * <p>Lease requests that exceed the limit wait in FIFO order. A connection returns to the pool only after a complete
 * exchange; in any other case it is closed.
 */
final class UpstreamPool implements AutoCloseable {
    /** Receives a connection or the reason for the failure; called without locks held. */
    interface LeaseRequest {
        /** Whether the connection must be a new one. */
        boolean needsNewConnection();

        /** Called with the connection; returns false if it is no longer needed. */
        boolean leased(UpstreamConnection connection);

        /** Called when the connection could not be opened. */
        void connectFailed(Exception cause);
    }

    private static final class ServerConnections {
        private int limit;
        private int open;
        private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
        private final Deque<LeaseRequest> waiting = new ArrayDeque<>();
    }

    /** Select calls return on events; the interval bounds how late an expired connection attempt is detected. */
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
        WatchedPart progress = settings.supervisor.watch("upstream-io");
        ThreadFactory threads = ProxyServer.threadFactory("upstream-io");
        reactor = new DefaultConnectingIOReactor(
                new UpstreamConnectionFactory(settings, this),
                config,
                task -> threads.newThread(() -> {
                    try {
                        task.run();
                    } finally {
                        // After a planned close nobody asks any more.
                        progress.ended();
                    }
                }),
                null,
                ProxyServer::logIoFailure,
                null,
                null);
        reactor.start();
        ReactorProbe probe = new ReactorProbe(progress);
        settings.supervisor.addProbe(() -> probe.ask(reactor));
    }

    /** Idle limit of connections to servers that announce no keep-alive timeout. */
    long defaultIdleLimitNanos() {
        return settings.upstreamIdleExpiry.toNanos();
    }

    /** Addresses to which an idle connection is open. */
    synchronized Set<String> idleAddresses(long nowNanos) {
        Set<String> result = new HashSet<>();
        servers.forEach((address, server) -> {
            UpstreamConnection newest = server.idle.peekLast();
            if (newest != null && !newest.isIdleExpired(nowNanos)) {
                result.add(address);
            }
        });
        return result;
    }

    void lease(String address, int limit, long nowNanos, LeaseRequest lease) {
        UpstreamConnection reused = null;
        UpstreamConnection evicted = null;
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
                    evicted = server.idle.removeFirst();
                    evicted.poolState = UpstreamConnection.PoolState.CLOSED;
                } else {
                    server.waiting.add(lease);
                    return;
                }
            }
        }
        if (evicted != null) {
            evicted.close();
        }
        if (reused != null) {
            deliver(reused, lease);
        } else {
            connect(address, lease);
        }
    }

    /** Removes a waiting lease request. */
    synchronized void cancel(String address, LeaseRequest lease) {
        ServerConnections server = servers.get(address);
        if (server != null) {
            server.waiting.remove(lease);
        }
    }

    /** Returns a connection to the pool after a complete exchange. */
    void release(UpstreamConnection connection, long nowNanos) {
        LeaseRequest next = null;
        synchronized (this) {
            ServerConnections server = servers.get(connection.address);
            if (server == null || connection.poolState != UpstreamConnection.PoolState.LEASED) {
                return;
            }
            LeaseRequest first = server.waiting.peek();
            if (first != null && !first.needsNewConnection() && server.open <= server.limit) {
                next = server.waiting.remove();
            } else if (first == null && server.open <= server.limit) {
                connection.poolState = UpstreamConnection.PoolState.IDLE;
                connection.idleSinceNanos = nowNanos;
                server.idle.addLast(connection);
                return;
            }
        }
        if (next == null) {
            discard(connection);
        } else {
            deliver(connection, next);
        }
    }

    /** Closes a connection in any state. */
    void discard(UpstreamConnection connection) {
        LeaseRequest next = null;
        synchronized (this) {
            ServerConnections server = servers.get(connection.address);
            if (server != null && connection.poolState != UpstreamConnection.PoolState.CLOSED) {
                server.idle.remove(connection);
                next = reassignPermit(connection.address, server);
            }
            connection.poolState = UpstreamConnection.PoolState.CLOSED;
        }
        connection.close();
        if (next != null) {
            connect(connection.address, next);
        }
    }

    /** Closes connections whose idle limit has expired. */
    void closeIdle(long nowNanos) {
        List<UpstreamConnection> expired = new ArrayList<>();
        synchronized (this) {
            for (ServerConnections server : servers.values()) {
                for (UpstreamConnection connection : server.idle) {
                    if (connection.isIdleExpired(nowNanos)) {
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
            connection.poolState = UpstreamConnection.PoolState.LEASED;
        }
        discard(connection);
    }

    /** Number of open connections to a server, including those being opened. */
    synchronized int openConnections(String address) {
        ServerConnections server = servers.get(address);
        return server == null ? 0 : server.open;
    }

    /** Number of idle connections to a server. */
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
        if (newest == null || newest.isIdleExpired(nowNanos)) {
            return null;
        }
        server.idle.removeLast();
        newest.poolState = UpstreamConnection.PoolState.LEASED;
        return newest;
    }

    /** Passes the permit of a closed connection to the next waiting lease request; called with the lock held. */
    private @Nullable LeaseRequest reassignPermit(String address, ServerConnections server) {
        LeaseRequest next = server.open <= server.limit ? server.waiting.poll() : null;
        if (next == null) {
            server.open--;
            if (server.open == 0 && server.waiting.isEmpty()) {
                servers.remove(address);
            }
        }
        return next;
    }

    private void deliver(UpstreamConnection connection, LeaseRequest lease) {
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
                next = reassignPermit(address, server);
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
                deliver(connection, lease);
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
