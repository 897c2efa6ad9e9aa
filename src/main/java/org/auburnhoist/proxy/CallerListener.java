package org.auburnhoist.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorShutdownException;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.auburnhoist.support.Event;
import org.auburnhoist.support.WatchedPart;
import org.jspecify.annotations.Nullable;

/**
 * Listens at the addresses of a server.
 *
 * <p>HttpCore's acceptor ends at the first accept that fails, for instance because no descriptor is free. The listener
 * then opens the addresses again after a pause, with new threads; those before serve the connections that are open.
 */
final class CallerListener {
    /** Select calls return on events; the interval bounds only how late expired sessions are detected. */
    private static final long SELECT_INTERVAL_MILLIS = 500;
    /** Time between the end of an acceptor, or a vain attempt to open the addresses, and the next attempt. */
    private static final long REOPEN_PAUSE_MILLIS = 1_000;
    /** Time for the acceptor to open one address. */
    private static final long LISTEN_LIMIT_MILLIS = 5_000;
    /** Descriptors that must be free: the new selectors and listeners take about ten, and callers need some. */
    private static final int DESCRIPTORS_TO_REOPEN = 32;

    private final ProxyServer server;
    private final ThreadFactory acceptThreads = ProxyServer.threadFactory("caller-accept");
    private final ThreadFactory ioThreads = ProxyServer.threadFactory("caller-io");
    private final Object lock = new Object();
    private final List<Acceptor> retired = new ArrayList<>();
    private List<InetSocketAddress> addresses = List.of();
    private @Nullable Acceptor current;
    private boolean stopped;

    private final WatchedPart progress;
    private final ReactorProbe probe;

    private CallerListener(ProxyServer server) {
        this.server = server;
        this.progress = server.settings().supervisor.watch("caller-io");
        this.probe = new ReactorProbe(progress);
    }

    /**
     * Opens addresses.
     *
     * @throws IOException if one of them cannot be used
     */
    static CallerListener open(ProxyServer server, List<InetSocketAddress> addresses) throws IOException {
        CallerListener listener = new CallerListener(server);
        Acceptor opened = listener.openAcceptor(addresses);
        listener.addresses = opened.addresses();
        listener.use(opened);
        server.settings().supervisor.addProbe(listener::probe);
        return listener;
    }

    /** The open addresses with their actual ports, in the order in which they were given. */
    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Whether new connections are accepted at present. */
    boolean isAccepting() {
        synchronized (lock) {
            return !stopped && current != null && !current.ended;
        }
    }

    /** Closes the addresses for good; open connections stay. */
    void stopAccepting() {
        Acceptor open;
        synchronized (lock) {
            if (stopped) {
                return;
            }
            stopped = true;
            open = current;
        }
        if (open != null && !open.ended) {
            open.closeAddresses();
        }
    }

    /** Closes the threads whose acceptor has ended and whose connections are all closed. */
    void closeUnused(Predicate<CallerConnectionFactory> hasConnections) {
        List<Acceptor> unused;
        synchronized (lock) {
            if (retired.isEmpty() || !isAccepting()) {
                return;
            }
            unused = retired.stream()
                    .filter(acceptor -> !hasConnections.test(acceptor.connections))
                    .toList();
            retired.removeAll(unused);
        }
        unused.forEach(acceptor -> acceptor.reactor.close(CloseMode.IMMEDIATE));
    }

    private void probe() {
        Acceptor acceptor;
        synchronized (lock) {
            acceptor = current;
        }
        if (acceptor == null || acceptor.ended) {
            // The listener replaces it, and the server says meanwhile that it does not accept.
            progress.progressed();
        } else {
            probe.ask(acceptor.reactor);
        }
    }

    /** Closes all connections and ends the threads. */
    void close(CloseMode mode) {
        stopAccepting();
        List<Acceptor> open;
        synchronized (lock) {
            open = new ArrayList<>(retired);
            if (current != null) {
                open.add(current);
            }
        }
        open.forEach(acceptor -> acceptor.reactor.close(mode));
    }

    /** Makes an acceptor the current one; false if it has ended already or the listener has stopped. */
    private boolean use(Acceptor opened) {
        synchronized (lock) {
            if (stopped || opened.ended) {
                opened.reactor.close(CloseMode.IMMEDIATE);
                return false;
            }
            if (current != null) {
                retired.add(current);
            }
            current = opened;
            return true;
        }
    }

    private void threadEnded(Acceptor acceptor) {
        synchronized (lock) {
            boolean first = !acceptor.ended;
            acceptor.ended = true;
            if (stopped || !first || acceptor != current) {
                return;
            }
        }
        Event.named("accepting-ended")
                .with("thread", Thread.currentThread().getName())
                .with("cause", String.valueOf(acceptor.lastFailure))
                .with("callers", server.callerConnections())
                .warn();
        ProxyServer.threadFactory("caller-reopen")
                .newThread(() -> reopen(acceptor))
                .start();
    }

    private void reopen(Acceptor ended) {
        // If a thread that serves connections has ended, the one that accepts them must not go on.
        ended.closeAddresses();
        try {
            do {
                Thread.sleep(REOPEN_PAUSE_MILLIS);
                if (isStopped()) {
                    return;
                }
            } while (!tryReopen());
            Event.named("accepting-again")
                    .with("callers", server.callerConnections())
                    .log();
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean tryReopen() {
        try {
            requireFreeDescriptors();
            return use(openAcceptor(addresses)) || isStopped();
        } catch (IOException | RuntimeException cause) {
            Event.named("accepting-not-possible").with("cause", cause).warn();
            return false;
        }
    }

    private boolean isStopped() {
        synchronized (lock) {
            return stopped;
        }
    }

    /** Fails if few descriptors are free, because a reactor that can't be opened as a whole keeps those it has. */
    private static void requireFreeDescriptors() throws IOException {
        List<ServerSocketChannel> channels = new ArrayList<>();
        try {
            for (int count = 0; count < DESCRIPTORS_TO_REOPEN; count++) {
                channels.add(ServerSocketChannel.open());
            }
        } finally {
            for (ServerSocketChannel channel : channels) {
                channel.close();
            }
        }
    }

    private Acceptor openAcceptor(List<InetSocketAddress> wanted) throws IOException {
        Acceptor acceptor = new Acceptor();
        try {
            acceptor.reactor.start();
            for (InetSocketAddress address : wanted) {
                acceptor.listen(address);
            }
            return acceptor;
        } catch (IOException | RuntimeException cause) {
            acceptor.reactor.close(CloseMode.IMMEDIATE);
            throw cause;
        }
    }

    /** One reactor: a thread that accepts connections, and those that serve them. */
    private final class Acceptor {
        final CallerConnectionFactory connections = new CallerConnectionFactory(server);
        final DefaultListeningIOReactor reactor;
        final List<ListenerEndpoint> endpoints = new ArrayList<>();
        volatile boolean ended;
        volatile @Nullable Exception lastFailure;

        Acceptor() {
            IOReactorConfig config = IOReactorConfig.custom()
                    .setIoThreadCount(server.settings().callerThreads)
                    .setTcpNoDelay(true)
                    .setSoReuseAddress(true)
                    .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                    .build();
            reactor = new DefaultListeningIOReactor(
                    connections,
                    config,
                    task -> ioThreads.newThread(() -> run(task)),
                    task -> acceptThreads.newThread(() -> run(task)),
                    null,
                    this::failed,
                    null,
                    ShutdownCommand.GRACEFUL_IMMEDIATE_CALLBACK);
        }

        private void run(Runnable task) {
            try {
                task.run();
            } finally {
                threadEnded(this);
            }
        }

        private void failed(Exception cause) {
            lastFailure = cause;
            ProxyServer.logIoFailure(cause);
        }

        void listen(InetSocketAddress address) throws IOException {
            try {
                endpoints.add(reactor.listen(address).get(LISTEN_LIMIT_MILLIS, TimeUnit.MILLISECONDS));
            } catch (ExecutionException cause) {
                throw new IOException("listenAddress: could not listen on " + address, cause.getCause());
            } catch (TimeoutException cause) {
                throw new IOException("listenAddress: no listener on " + address + " in time", cause);
            } catch (InterruptedException cause) {
                Thread.currentThread().interrupt();
                throw new IOException("listen: interrupted", cause);
            }
        }

        List<InetSocketAddress> addresses() {
            return endpoints.stream()
                    .map(endpoint -> (InetSocketAddress) endpoint.getAddress())
                    .toList();
        }

        void closeAddresses() {
            Set<ListenerEndpoint> open = reactor.getEndpoints();
            open.forEach(endpoint -> endpoint.close(CloseMode.GRACEFUL));
            if (!open.isEmpty()) {
                wake();
            }
        }

        /**
         * Lets the acceptor's selector run, since the system closes a listening socket only then. Otherwise it would
         * accept one more connection, which wakes the selector and is reset.
         */
        private void wake() {
            SocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            FutureCallback<ListenerEndpoint> closing = new FutureCallback<>() {
                @Override
                public void completed(ListenerEndpoint endpoint) {
                    endpoint.close(CloseMode.IMMEDIATE);
                }

                @Override
                public void failed(Exception cause) {
                    ProxyServer.logIoFailure(cause);
                }

                @Override
                public void cancelled() {
                    // The reactor is closing, and its selector with it.
                }
            };
            try {
                Future<?> unused = reactor.listen(any, closing);
            } catch (IOReactorShutdownException closed) {
                // The acceptor has ended, and its selector with it.
            }
        }
    }
}
