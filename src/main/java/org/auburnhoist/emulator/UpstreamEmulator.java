package org.auburnhoist.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.util.TimeValue;
import org.jspecify.annotations.Nullable;

/**
 * Emulates the upstream servers of one or more services, all in this process and on one I/O reactor.
 *
 * <pre>{@code
 * UpstreamEmulator emulator = UpstreamEmulator.builder()
 *         .seed(7)
 *         .server(UpstreamSpec.of("catalogue", "catalogue-1", 6, 330, new ServiceTime(Duration.ofMillis(20), 0.5)))
 *         .start();
 * emulator.server("catalogue-1").setGrayMode(new GrayMode.FailShare(0.3));
 * emulator.runCounts().duplicates();
 * }</pre>
 *
 * <p>Each server answers {@code /health}, {@code /load} and {@code /admin/ledger} (the counts of all servers as JSON)
 * without occupying a slot. A request for any other path occupies one.
 */
public final class UpstreamEmulator implements AutoCloseable {
    private static final int REACTOR_THREADS = 2;

    /** With the default of 50, a burst of the several hundred connections of a server has to wait for resent SYNs. */
    private static final int LISTEN_BACKLOG = 1024;

    private static final TimeValue SELECT_INTERVAL = TimeValue.ofMilliseconds(50);

    private final RunCounts runCounts = new RunCounts();
    private final Map<String, UpstreamServer> servers = new LinkedHashMap<>();
    private final Map<Integer, UpstreamServer> serversByPort = new ConcurrentHashMap<>();
    private final Map<Integer, UpstreamListener> listeners = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timers;
    private final HttpAsyncServer reactor;

    private UpstreamEmulator(Builder settings) throws IOException {
        timers = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "upstream-emulator-timer");
            thread.setDaemon(true);
            return thread;
        });
        reactor = AsyncServerBootstrap.bootstrap()
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(REACTOR_THREADS)
                        .setSelectInterval(SELECT_INTERVAL)
                        .setBacklogSize(LISTEN_BACKLOG)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .build())
                .setRequestRouter((request, context) -> () -> new UpstreamExchange(serversByPort::get))
                .setIOSessionDecorator(EndOfStreamSession::decorate)
                .setIOSessionListener(new ConnectionTracker())
                .setExceptionCallback(cause -> {})
                .create();
        reactor.start();
        long seed = settings.seed;
        for (UpstreamSpec spec : settings.specs) {
            add(spec, seed++);
        }
    }

    /** Returns a builder without servers and with seed 0. */
    public static Builder builder() {
        return new Builder();
    }

    /** The server with the given name. */
    public UpstreamServer server(String name) {
        UpstreamServer server = servers.get(name);
        if (server == null) {
            throw new IllegalArgumentException("name: expected one of " + servers.keySet() + ", got " + name);
        }
        return server;
    }

    /** All servers, in the order in which they were added. */
    public Collection<UpstreamServer> servers() {
        return List.copyOf(servers.values());
    }

    /** Counts of what reached the servers. */
    public RunCounts runCounts() {
        return runCounts;
    }

    @Override
    public void close() {
        timers.shutdownNow();
        reactor.close(CloseMode.IMMEDIATE);
    }

    long nowNanos() {
        return System.nanoTime();
    }

    Future<?> schedule(Duration delay, Runnable action) {
        try {
            return timers.schedule(action, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException cause) {
            // The emulator is being closed.
            return inertTimer();
        }
    }

    /** A timer that never fires. */
    Future<?> inertTimer() {
        return new CompletableFuture<>();
    }

    private void add(UpstreamSpec spec, long seed) throws IOException {
        try {
            UpstreamListener listener = new UpstreamListener(reactor, this, spec);
            UpstreamServer server = new UpstreamServer(spec, this, listener, seed);
            listeners.put(listener.port(), listener);
            serversByPort.put(listener.port(), server);
            servers.put(spec.name(), server);
        } catch (ExecutionException cause) {
            throw new IOException("could not listen for " + spec.name() + " on port " + spec.port(), cause);
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting " + spec.name(), cause);
        }
    }

    private @Nullable UpstreamListener listenerOf(IOSession session) {
        return session.getLocalAddress() instanceof InetSocketAddress address ? listeners.get(address.getPort()) : null;
    }

    /** Notifies the listener of each server of its opened and closed connections. */
    private final class ConnectionTracker implements IOSessionListener {
        @Override
        public void connected(IOSession session) {
            UpstreamListener listener = listenerOf(session);
            if (listener != null) {
                listener.connected(session);
            }
        }

        @Override
        public void disconnected(IOSession session) {
            listeners.values().forEach(listener -> listener.disconnected(session));
        }

        @Override
        public void startTls(IOSession session) {
            // The servers speak plain HTTP.
        }

        @Override
        public void inputReady(IOSession session) {
            // Only connections are tracked.
        }

        @Override
        public void outputReady(IOSession session) {
            // Only connections are tracked.
        }

        @Override
        public void timeout(IOSession session) {
            // Only connections are tracked.
        }

        @Override
        public void exception(IOSession session, Exception cause) {
            // Callers close connections and faults break them at any time.
        }
    }

    /** Builds and starts an emulator. */
    public static final class Builder {
        private final List<UpstreamSpec> specs = new ArrayList<>();
        private long seed;

        private Builder() {}

        /** Sets the seed of the random generators; each server has generators of its own. */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Adds a server. */
        public Builder server(UpstreamSpec spec) {
            specs.add(spec);
            return this;
        }

        /** Starts all servers, each on the loopback port of its specification. */
        public UpstreamEmulator start() throws IOException {
            return new UpstreamEmulator(this);
        }
    }
}
