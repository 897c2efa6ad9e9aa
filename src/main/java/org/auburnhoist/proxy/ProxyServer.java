package org.auburnhoist.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ClosedSelectorException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.io.CloseMode;
import org.auburnhoist.support.Event;
import org.auburnhoist.support.WatchedPart;
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
    /** Connections of the platform, which asks at one reserved address on few connections. */
    private static final int MAX_RESERVED_CONNECTIONS = 64;
    /** Share of the bound of callers' connections from which on idle ones are closed, to keep room for new ones. */
    private static final double CROWDED = 0.75;
    /** Callers usually send their next request sooner than this after a response. */
    private static final long MIN_IDLE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final ProxySettings settings;
    private final RequestPolicy policy;
    private final UpstreamPool pool;
    private final CallerListener listener;
    private final ScheduledThreadPoolExecutor timer;
    private final Map<Integer, RequestPolicy> additionalPolicies = new ConcurrentHashMap<>();
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger callers = new AtomicInteger();
    private final AtomicInteger reserved = new AtomicInteger();
    private final WatchedPart timerProgress;
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
        timerProgress = settings.supervisor.watch("proxy-timer");
        timer = new ScheduledThreadPoolExecutor(1, threadFactory("proxy-timer"));
        timer.setRemoveOnCancelPolicy(true);
        pool = new UpstreamPool(settings);
        listener = listen();
        address = listener.addresses().get(0);
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
        listener.stopAccepting();
    }

    /** Whether a new caller is accepted at present. */
    public boolean isAccepting() {
        return listener.isAccepting() && callers.get() < settings.maxCallerConnections;
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
        listener.close(finished ? CloseMode.GRACEFUL : CloseMode.IMMEDIATE);
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

    private CallerListener listen() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        addresses.add(settings.listenAddress);
        settings.additionalListeners.forEach((further, furtherPolicy) -> {
            addresses.add(further);
            additionalPolicies.put(further.getPort(), furtherPolicy);
        });
        try {
            return CallerListener.open(this, addresses);
        } catch (IOException cause) {
            pool.close();
            timer.shutdownNow();
            throw cause;
        }
    }

    private void checkTimeouts() {
        timerProgress.progressed();
        try {
            long now = now();
            connections.forEach(connection -> connection.checkTimeouts(now));
            pool.closeIdle(now);
            makeRoom(now);
            listener.closeUnused(factory -> connections.stream().anyMatch(connection -> connection.isOf(factory)));
        } catch (RuntimeException | Error cause) {
            logFailure("time-check-failed", cause);
        }
    }

    /** Closes the connections that have been idle longest if new callers would soon find no room. */
    private void makeRoom(long now) {
        long excess = callers.get() - (long) (settings.maxCallerConnections * CROWDED);
        if (excess <= 0) {
            return;
        }
        record Idle(CallerConnection connection, long nanos) {}
        List<CallerConnection> longest = connections.stream()
                .filter(connection -> !isReserved(connection))
                .map(connection -> new Idle(connection, connection.idleNanos(now)))
                .filter(idle -> idle.nanos() >= MIN_IDLE_NANOS)
                .sorted(Comparator.comparingLong(Idle::nanos).reversed())
                .limit(excess)
                .map(Idle::connection)
                .toList();
        longest.forEach(CallerConnection::closeIfIdle);
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
        return local instanceof InetSocketAddress address
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
        boolean isReserved = isReserved(connection);
        AtomicInteger count = isReserved ? reserved : callers;
        int max = isReserved ? MAX_RESERVED_CONNECTIONS : settings.maxCallerConnections;
        if (count.incrementAndGet() > max) {
            count.decrementAndGet();
            return false;
        }
        return connections.add(connection);
    }

    void connectionClosed(CallerConnection connection) {
        if (connections.remove(connection)) {
            (isReserved(connection) ? reserved : callers).decrementAndGet();
        }
    }

    private boolean isReserved(CallerConnection connection) {
        return connection.localAddress() instanceof InetSocketAddress local
                && settings.reservedPorts.contains(local.getPort());
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
