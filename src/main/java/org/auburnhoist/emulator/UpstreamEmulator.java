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
 * Emulated upstream servers of one or several services, all in this process and on one reactor.
 *
 * <pre>{@code
 * UpstreamEmulator emulator = UpstreamEmulator.builder()
 *         .seed(7)
 *         .server(UpstreamSpec.of("catalogue", "catalogue-1", 6, 330, new ServiceTime(Duration.ofMillis(20), 0.5)))
 *         .start();
 * emulator.server("catalogue-1").gray(new GrayMode.FailShare(0.3));
 * emulator.ledger().duplicates();
 * }</pre>
 *
 * <p>Each server answers {@code /health}, {@code /load} and {@code /admin/ledger} (the counts of all servers as JSON)
 * outside its slots. Every other path is work.
 */
public final class UpstreamEmulator implements AutoCloseable {
    private static final int REACTOR_THREADS = 2;

    /** Each server has several hundred connections; with the default of 50, a burst of them waits for resent SYNs. */
    private static final int BACKLOG = 1024;

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
                        .setBacklogSize(BACKLOG)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .build())
                .setRequestRouter((request, context) -> () -> new UpstreamExchange(serversByPort::get))
                .setIOSessionDecorator(EndOfStreamSession::decorate)
                .setIOSessionListener(new Sessions())
                .setExceptionCallback(cause -> {})
                .create();
        reactor.start();
        long seed = settings.seed;
        for (UpstreamSpec spec : settings.specs) {
            add(spec, seed++);
        }
    }

    /** Starts with no servers and seed 0. */
    public static Builder builder() {
        return new Builder();
    }

    /** The server with a name. */
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

    /** What reached the servers. */
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

    Future<?> after(Duration delay, Runnable action) {
        try {
            return timers.schedule(action, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException cause) {
            // The emulator is being closed.
            return never();
        }
    }

    /** A timer that never fires. */
    Future<?> never() {
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

    /** Tells each server's listener about its connections. */
    private final class Sessions implements IOSessionListener {
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

    /** Settings of an emulator. */
    public static final class Builder {
        private final List<UpstreamSpec> specs = new ArrayList<>();
        private long seed;

        private Builder() {}

        /** Seed of all random draws; each server draws from its own sequence. */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Adds a server. */
        public Builder server(UpstreamSpec spec) {
            specs.add(spec);
            return this;
        }

        /** Starts all servers, each on the loopback port of its spec. */
        public UpstreamEmulator start() throws IOException {
            return new UpstreamEmulator(this);
        }
    }
}
