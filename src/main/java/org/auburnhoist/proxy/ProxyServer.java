package org.auburnhoist.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ClosedSelectorException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Accepts callers' connections, asks a {@link RequestPolicy} about each request, and responds to it or forwards it.
 *
 * <pre>{@code
 * ProxyServer proxy = ProxyServer.start(settings, policy);
 * ...
 * proxy.stopAccepting(endNanos);
 * proxy.close(Duration.ofSeconds(30));   // waits for the requests in progress
 * }</pre>
 */
public final class ProxyServer implements AutoCloseable {
    /** Interval at which the timeouts of all connections are checked. */
    private static final long CHECK_INTERVAL_MILLIS = 500;
    /** Select calls return on events; the interval bounds only how late expired sessions are detected. */
    private static final long SELECT_INTERVAL_MILLIS = 500;

    private final ProxySettings settings;
    private final RequestPolicy policy;
    private final UpstreamPool pool;
    private final DefaultListeningIOReactor reactor;
    private final ScheduledThreadPoolExecutor timer;
    private final Map<Integer, RequestPolicy> additionalPolicies = new ConcurrentHashMap<>();
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong requestIds = new AtomicLong();
    private final Object inProgressLock = new Object();
    private int inProgress;
    private volatile boolean stopping;
    private volatile boolean refusing;
    private volatile long requestsEndNanos;
    private final InetSocketAddress address;

    private ProxyServer(ProxySettings settings, RequestPolicy policy) throws IOException {
        this.settings = settings;
        this.policy = policy;
        timer = new ScheduledThreadPoolExecutor(1, threadFactory("proxy-timer"));
        timer.setRemoveOnCancelPolicy(true);
        pool = new UpstreamPool(settings);
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(settings.callerThreads)
                .setTcpNoDelay(true)
                .setSoReuseAddress(true)
                .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                .build();
        reactor = new DefaultListeningIOReactor(
                new CallerConnectionFactory(this),
                config,
                threadFactory("caller-io"),
                threadFactory("caller-accept"),
                null,
                ProxyServer::logIoFailure,
                null,
                ShutdownCommand.GRACEFUL_IMMEDIATE_CALLBACK);
        reactor.start();
        address = listen();
        Future<?> unused = timer.scheduleWithFixedDelay(
                this::checkTimeouts, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a server that listens for callers.
     *
     * @throws IOException if the address cannot be used
     */
    public static ProxyServer start(ProxySettings settings, RequestPolicy policy) throws IOException {
        return new ProxyServer(settings, policy);
    }

    /** The address that callers connect to, with the actual port. */
    public InetSocketAddress address() {
        return address;
    }

    /** Number of unfinished requests, including non-idempotent ones whose callers have disconnected. */
    public int requestsInProgress() {
        synchronized (inProgressLock) {
            return inProgress;
        }
    }

    /** The requests of connected callers whose responses are not complete. */
    public List<UnfinishedRequest> unfinishedRequests() {
        long now = now();
        return connections.stream()
                .flatMap(connection -> connection.unfinishedRequests(now).stream())
                .toList();
    }

    /** Number of open caller connections. */
    public int callerConnections() {
        return connections.size();
    }

    /** Closes each caller's connection after its next response; new connections are still accepted. */
    public void closeAfterResponses() {
        stopping = true;
    }

    /**
     * Accepts no further connections and no further requests. A request whose end is read later, on a connection that
     * was open before, is refused and closes its connection: as not run unless a server has a part of it. Those that
     * have been read whole continue, and so do those whose heads have been read and that are sure to end in time.
     *
     * @param endNanos when the requests that are left will be ended
     */
    public void stopAccepting(long endNanos) {
        stopping = true;
        requestsEndNanos = endNanos;
        refusing = true;
        Set<ListenerEndpoint> open = reactor.getEndpoints();
        open.forEach(endpoint -> endpoint.close(CloseMode.GRACEFUL));
        if (!open.isEmpty()) {
            wakeAcceptor();
        }
    }

    /**
     * Lets the acceptor's selector run, since the system closes a listening socket only then. Otherwise it would accept
     * one more connection, which wakes the selector and is reset.
     */
    private void wakeAcceptor() {
        Future<?> unused = reactor.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new FutureCallback<ListenerEndpoint>() {
                    @Override
                    public void completed(ListenerEndpoint endpoint) {
                        endpoint.close(CloseMode.IMMEDIATE);
                    }

                    @Override
                    public void failed(Exception cause) {
                        logIoFailure(cause);
                    }

                    @Override
                    public void cancelled() {
                        // The reactor is closing, and its selector with it.
                    }
                });
    }

    /**
     * Ends the requests in progress that have no response yet. Those that no server has received are refused as not
     * run; the outcome of the others is unknown.
     */
    public void endRequests() {
        connections.forEach(CallerConnection::endRequests);
    }

    /** Closes the connections without a request in progress. */
    public void closeIdleConnections() {
        connections.forEach(CallerConnection::closeIfIdle);
    }

    /** Stops immediately; requests in progress are aborted. */
    @Override
    public void close() {
        close(Duration.ZERO);
    }

    /**
     * Stops after the requests in progress have finished.
     *
     * @param limit the maximum time to wait for them
     * @return whether all of them finished
     */
    public boolean close(Duration limit) {
        stopAccepting(now() + limit.toNanos());
        boolean finished = awaitNoRequests(limit);
        reactor.close(finished ? CloseMode.GRACEFUL : CloseMode.IMMEDIATE);
        pool.close();
        timer.shutdownNow();
        return finished;
    }

    private boolean awaitNoRequests(Duration limit) {
        long end = System.nanoTime() + limit.toNanos();
        synchronized (inProgressLock) {
            while (inProgress > 0) {
                long millis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (millis <= 0) {
                    return false;
                }
                try {
                    inProgressLock.wait(millis);
                } catch (InterruptedException cause) {
                    Thread.currentThread().interrupt();
                    return false;
                }
            }
            return true;
        }
    }

    private InetSocketAddress listen() throws IOException {
        try {
            ListenerEndpoint endpoint = reactor.listen(settings.listenAddress).get();
            for (Map.Entry<InetSocketAddress, RequestPolicy> further : settings.additionalListeners.entrySet()) {
                reactor.listen(further.getKey()).get();
                additionalPolicies.put(further.getKey().getPort(), further.getValue());
            }
            return (InetSocketAddress) endpoint.getAddress();
        } catch (ExecutionException cause) {
            close();
            throw new IOException("listenAddress: could not listen on " + settings.listenAddress, cause.getCause());
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            close();
            throw new IOException("listen: interrupted", cause);
        }
    }

    private void checkTimeouts() {
        try {
            long now = now();
            connections.forEach(connection -> connection.checkTimeouts(now));
            pool.closeIdle(now);
        } catch (RuntimeException | Error cause) {
            logFailure("time-check-failed", cause);
        }
    }

    /** Addresses of upstream servers to which an idle connection is open. */
    public Set<String> idleUpstreams() {
        return pool.idleAddresses(now());
    }

    ProxySettings settings() {
        return settings;
    }

    /** The policy of the address on which a connection was accepted. */
    RequestPolicy policy(@Nullable SocketAddress local) {
        return local instanceof InetSocketAddress address && address.getPort() != this.address.getPort()
                ? additionalPolicies.getOrDefault(address.getPort(), policy)
                : policy;
    }

    UpstreamPool pool() {
        return pool;
    }

    boolean isStopping() {
        return stopping;
    }

    /** Whether requests that are read from now on are refused. */
    boolean isRefusing() {
        return refusing;
    }

    long requestsEndNanos() {
        return requestsEndNanos;
    }

    long now() {
        return System.nanoTime();
    }

    String nextRequestId() {
        return settings.requestIdPrefix + "-" + Long.toHexString(requestIds.incrementAndGet());
    }

    Future<?> schedule(Runnable action, long delayNanos) {
        return timer.schedule(action, Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    }

    boolean connectionOpened(CallerConnection connection) {
        if (connections.size() >= settings.maxCallerConnections) {
            return false;
        }
        return connections.add(connection);
    }

    void connectionClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    void exchangeStarted() {
        changeInProgress(1);
    }

    void exchangeEnded() {
        changeInProgress(-1);
    }

    void forwardingStarted() {
        changeInProgress(1);
    }

    void forwardingFinished() {
        changeInProgress(-1);
    }

    private void changeInProgress(int change) {
        synchronized (inProgressLock) {
            inProgress += change;
            inProgressLock.notifyAll();
        }
    }

    void logFailure(String event, @Nullable Throwable cause) {
        Event.named(event).with("cause", String.valueOf(cause)).warn();
    }

    /** Logs unexpected failures; I/O errors and closed selectors are normal when connections end. */
    static void logIoFailure(Exception cause) {
        if (!(cause instanceof IOException) && !(cause instanceof ClosedSelectorException)) {
            Event.named("io-failure").with("cause", String.valueOf(cause)).warn();
        }
    }

    static ThreadFactory threadFactory(String name) {
        AtomicInteger count = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
