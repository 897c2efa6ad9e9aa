package org.auburnhoist.host;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.channels.AsynchronousChannelGroup;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.blackboard.BlackboardSnapshot;
import org.auburnhoist.core.limit.LimitSettings;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.PeerSelector;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.operation.OperationSettings;
import org.auburnhoist.peer.PeerClient;
import org.auburnhoist.peer.PeerServer;
import org.auburnhoist.peer.PeerSettings;
import org.auburnhoist.peer.TrafficCounter;
import org.auburnhoist.proxy.Admission;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.proxy.ProxySettings;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.store.HostList;
import org.auburnhoist.store.HttpHostList;
import org.auburnhoist.store.Store;
import org.auburnhoist.support.Closer;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * One incarnation of an entry host.
 *
 * <pre>{@code
 * EntryHost host = EntryHost.start(settings, store);
 * ...
 * host.stop().join();   // graceful shutdown: finishes the requests in progress
 * }</pre>
 */
public final class EntryHost implements AutoCloseable {
    private static final Duration SNAPSHOT_INTERVAL = Duration.ofMillis(100);
    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(5);
    private static final Duration TOKEN_RETURN_INTERVAL = Duration.ofMillis(250);
    private static final Duration OPERATION_TICK_INTERVAL = Duration.ofSeconds(1);
    private static final Duration HOST_LIST_TIMEOUT = Duration.ofSeconds(2);
    private static final int PEER_THREADS = 2;

    private final HostSettings settings;
    private final HostId self;
    private final Closer closer;
    private final ControlThread control;
    private final HostMetrics metrics = new HostMetrics();
    private final TrafficCounter peerTraffic = new TrafficCounter();
    private final CompletableFuture<Boolean> removed = new CompletableFuture<>();
    private final CompletableFuture<Boolean> leavingRequested = new CompletableFuture<>();
    private final ProxyServer proxy;
    private final PeerServer peerServer;
    private final HostControllers controllers;
    private final GracefulShutdown shutdown;
    private volatile BlackboardSnapshot snapshot;
    private volatile @Nullable HostPeerRequestHandler peerRequestHandler;
    private volatile @Nullable HostPolicy policy;

    private EntryHost(HostSettings settings, Store store, Closer closer) throws IOException {
        this.closer = closer;
        this.settings = settings;
        SecureRandom secure = new SecureRandom();
        this.self = new HostId(settings.name(), secure.nextLong());
        this.control = closer.register(new ControlThread("control-" + settings.name()));
        ThreadFactory threads = daemonThreads("peer-" + settings.name());
        AsynchronousChannelGroup group = AsynchronousChannelGroup.withFixedThreadPool(PEER_THREADS, threads);
        closer.register(group::shutdownNow);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(threads);
        closer.register(timer::shutdownNow);
        PeerSettings peerSettings = PeerSettings.of(self, settings.fleetSecret());
        Blackboard board = new Blackboard(self, settings.membership());
        this.snapshot = board.snapshot(System.nanoTime());
        this.peerServer = closer.register(
                PeerServer.start(peerSettings, settings.peerAddress(), group, this::handlePeerRequest, peerTraffic));
        this.proxy = closer.register(ProxyServer.start(proxySettings(), this::admit));
        PeerClient client = closer.register(new PeerClient(peerSettings, group, timer, peerTraffic));
        this.controllers = controllers(board, new MemberCalls(board, client, control), store, secure.nextLong());
        this.shutdown = new GracefulShutdown(settings, control, controllers, proxy, this::refreshSnapshot);
    }

    /**
     * Starts a host that joins the fleet as soon as it reaches the store.
     *
     * @param settings the host's settings
     * @param store the platform's store; the caller closes it
     * @throws IOException if an address is not available
     */
    public static EntryHost start(HostSettings settings, Store store) throws IOException {
        Closer closer = new Closer();
        try {
            EntryHost host = new EntryHost(settings, store, closer);
            host.startTasks();
            return host;
        } catch (IOException | RuntimeException cause) {
            closer.close();
            throw cause;
        }
    }

    /** Name and incarnation of this host. */
    public HostId id() {
        return self;
    }

    /** Address on which this host accepts connections from callers. */
    public InetSocketAddress callerAddress() {
        return proxy.address();
    }

    /** Address on which this host accepts connections from other hosts. */
    public InetSocketAddress peerAddress() {
        return peerServer.address();
    }

    /** Current snapshot of the control state, on which decisions about requests are based. */
    public BlackboardSnapshot snapshot() {
        return snapshot;
    }

    /** Counters and histograms of this host. */
    public HostMetrics metrics() {
        return metrics;
    }

    /** Bytes exchanged with other hosts. */
    public TrafficCounter peerTraffic() {
        return peerTraffic;
    }

    /**
     * Completes when the other hosts have removed this incarnation from the roster; a new incarnation must replace it.
     */
    public CompletableFuture<Boolean> removed() {
        return removed.copy();
    }

    /** Completes when an operator has marked this host as leaving. */
    public CompletableFuture<Boolean> leavingRequested() {
        return leavingRequested.copy();
    }

    /** Lets tests block this host's calls to other hosts. */
    void filterLinks(Predicate<InetSocketAddress> filter) {
        controllers.peers().filterLinks(filter);
    }

    /**
     * Starts a graceful shutdown; completes when the requests in progress have finished, or the stop limit has passed,
     * and the host is closed.
     */
    public CompletableFuture<Void> stop() {
        return shutdown.begin().thenRun(this::close);
    }

    /** Finishes the requests in progress of an incarnation that was removed from the roster, and closes it. */
    CompletableFuture<Void> stopRemoved() {
        return shutdown.drainRemoved().thenRun(this::close);
    }

    /** Stops immediately, as a crash would, without finishing requests. */
    @Override
    public void close() {
        closer.close();
    }

    private HostControllers controllers(Blackboard board, MemberCalls peers, Store store, long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        Member member = new Member(
                self,
                MemberCalls.formatAddress(peerServer.address()),
                MemberCalls.formatAddress(proxy.address()),
                settings.dataCentre(),
                MemberState.SERVING,
                0);
        DocumentController documents = new DocumentController(board, control);
        DispatchController dispatchers = new DispatchController(board, random);
        return new HostControllers(
                board,
                peers,
                documents,
                new PullController(board, peers, new PeerSelector(random), documents, List.of()),
                new StoreController(board, store, control, documents, member, random),
                new LimitController(board, peers, LimitSettings.STANDARD),
                new OperationController(board, peers, OperationSettings.DEFAULT, System.nanoTime()),
                dispatchers,
                new SlotClient(board, peers, dispatchers, random),
                new HostListController(board, control, openHostList()),
                new ServiceRetryBudgets());
    }

    private @Nullable HostList openHostList() {
        URI address = settings.hostList();
        return address == null ? null : closer.register(new HttpHostList(address, HOST_LIST_TIMEOUT));
    }

    private ProxySettings proxySettings() {
        return ProxySettings.builder()
                .listenAddress(settings.callerAddress())
                .hostName(settings.name())
                .requestIdPrefix(settings.name() + "-" + Long.toHexString(self.incarnation()))
                .ioThreads(settings.trafficThreads(), settings.trafficThreads())
                .build();
    }

    private void startTasks() {
        LocalEndpoints endpoints =
                new LocalEndpoints(this::snapshot, control, controllers, metrics, settings.addressValidity());
        policy = new HostPolicy(this::snapshot, control, controllers, endpoints, metrics);
        peerRequestHandler = new HostPeerRequestHandler(control, controllers);
        controllers.documents().setChangeListener(this::documentsChanged);
        publishGauges();
        control.execute(this::runFirstReads);
        control.scheduleWithFixedDelay(
                settings.membership().pullInterval(), now -> controllers.pulls().pullNext());
        control.scheduleWithFixedDelay(settings.membership().storeReadInterval(), controllers.store()::run);
        control.scheduleWithFixedDelay(DispatchController.TICK_INTERVAL, controllers.dispatchers()::tick);
        control.scheduleWithFixedDelay(SlotClient.TICK_INTERVAL, controllers.slots()::tick);
        control.scheduleWithFixedDelay(TOKEN_RETURN_INTERVAL, controllers.limits()::returnUnused);
        control.scheduleWithFixedDelay(OPERATION_TICK_INTERVAL, controllers.operations()::tick);
        control.scheduleWithFixedDelay(
                HostListController.READ_INTERVAL, now -> controllers.hostList().read());
        control.scheduleWithFixedDelay(SNAPSHOT_INTERVAL, this::refreshSnapshot);
        control.scheduleWithFixedDelay(CLEANUP_INTERVAL, this::cleanUp);
        Event.named("host-started")
                .with("host", self)
                .with("data_centre", settings.dataCentre())
                .with("callers", MemberCalls.formatAddress(callerAddress()))
                .with("peers", MemberCalls.formatAddress(peerAddress()))
                .log();
    }

    private void runFirstReads(long nowNanos) {
        controllers.store().run(nowNanos);
        controllers.pulls().pullNext();
    }

    private void documentsChanged() {
        long now = System.nanoTime();
        controllers.limits().documentsChanged(now);
        controllers.operations().documentsChanged(now);
        controllers.dispatchers().documentsChanged(now);
        controllers.pulls().announce();
        refreshSnapshot(now);
        if (controllers.board().isMarkedLeaving()) {
            leavingRequested.complete(true);
        }
        if (controllers.board().isRemoved() && !controllers.board().isStopping()) {
            Event.named("host-removed").with("host", self).warn();
            removed.complete(true);
        }
    }

    private void refreshSnapshot(long nowNanos) {
        snapshot = controllers.board().snapshot(nowNanos);
    }

    private void cleanUp(long nowNanos) {
        controllers.limits().cleanUp(nowNanos);
        controllers.peers().cleanUp(nowNanos);
    }

    private void publishGauges() {
        metrics.registerGauge("peer_sent_bytes", peerTraffic::sentBytes);
        metrics.registerGauge("peer_received_bytes", peerTraffic::receivedBytes);
        metrics.registerGauge("requests_in_progress", proxy::requestsInProgress);
        metrics.registerGauge("control_queue", control::queuedTasks);
        metrics.registerGauge(
                "configuration_version", () -> snapshot.activeConfiguration().version());
    }

    private CompletionStage<Message> handlePeerRequest(HostId from, Message request) {
        HostPeerRequestHandler handler = peerRequestHandler;
        return handler == null
                ? CompletableFuture.failedFuture(new IllegalStateException("the host is starting"))
                : handler.handle(from, request);
    }

    private CompletionStage<Admission> admit(RequestHead head, long nowNanos) {
        HostPolicy current = policy;
        return current == null
                ? CompletableFuture.completedFuture(HostPolicy.startingRefusal())
                : current.admit(head, nowNanos);
    }

    private static ThreadFactory daemonThreads(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
