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
 * host.stop().join();   // planned stop: cuts no request
 * }</pre>
 */
public final class EntryHost implements AutoCloseable {
    private static final Duration VIEW_REFRESH = Duration.ofMillis(100);
    private static final Duration TIDY_INTERVAL = Duration.ofSeconds(5);
    private static final Duration RETURN_INTERVAL = Duration.ofMillis(250);
    private static final Duration OPERATION_TICK = Duration.ofSeconds(1);
    private static final Duration HOST_LIST_LIMIT = Duration.ofSeconds(2);
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
    private final PlannedStop plannedStop;
    private volatile BlackboardSnapshot view;
    private volatile @Nullable PeerRequests peerRequests;
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
        this.view = board.snapshot(System.nanoTime());
        this.peerServer = closer.register(
                PeerServer.start(peerSettings, settings.peerAddress(), group, this::answerPeer, peerTraffic));
        this.proxy = closer.register(ProxyServer.start(proxySettings(), this::admit));
        PeerClient client = closer.register(new PeerClient(peerSettings, group, timer, peerTraffic));
        this.controllers = controllers(board, new Peers(board, client, control), store, secure.nextLong());
        this.plannedStop = new PlannedStop(settings, control, controllers, proxy, this::refreshView);
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
            host.begin();
            return host;
        } catch (IOException | RuntimeException cause) {
            closer.close();
            throw cause;
        }
    }

    /** Name and incarnation. */
    public HostId id() {
        return self;
    }

    /** Where callers connect. */
    public InetSocketAddress callerAddress() {
        return proxy.address();
    }

    /** Where other hosts connect. */
    public InetSocketAddress peerAddress() {
        return peerServer.address();
    }

    /** The state that traffic decides by at present. */
    public BlackboardSnapshot view() {
        return view;
    }

    /** Counters and histograms. */
    public HostMetrics metrics() {
        return metrics;
    }

    /** Bytes exchanged with other hosts. */
    public TrafficCounter peerTraffic() {
        return peerTraffic;
    }

    /** Completes when other hosts have removed this incarnation; it must be replaced by a new one. */
    public CompletableFuture<Boolean> removed() {
        return removed.copy();
    }

    /** Completes when an operator has marked this host as leaving. */
    public CompletableFuture<Boolean> leavingRequested() {
        return leavingRequested.copy();
    }

    /** Lets tests cut this host's links to others. */
    void filterLinks(Predicate<InetSocketAddress> filter) {
        controllers.peers().filterLinks(filter);
    }

    /** Begins a planned stop; completes when the last request has finished and the host is closed. */
    public CompletableFuture<Void> stop() {
        return plannedStop.begin().thenRun(this::close);
    }

    /** Finishes the requests of an incarnation that was removed, and closes it. */
    CompletableFuture<Void> stopRemoved() {
        return plannedStop.drainRemoved().thenRun(this::close);
    }

    /** Stops at once, as a failure does. */
    @Override
    public void close() {
        closer.close();
    }

    private HostControllers controllers(Blackboard board, Peers peers, Store store, long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        Member member = new Member(
                self,
                Peers.textOf(peerServer.address()),
                Peers.textOf(proxy.address()),
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
                new ServiceRetries());
    }

    private @Nullable HostList openHostList() {
        URI address = settings.hostList();
        return address == null ? null : closer.register(new HttpHostList(address, HOST_LIST_LIMIT));
    }

    private ProxySettings proxySettings() {
        return ProxySettings.builder()
                .listenAddress(settings.callerAddress())
                .hostName(settings.name())
                .requestIdPrefix(settings.name() + "-" + Long.toHexString(self.incarnation()))
                .ioThreads(settings.trafficThreads(), settings.trafficThreads())
                .build();
    }

    private void begin() {
        LocalEndpoints endpoints =
                new LocalEndpoints(this::view, control, controllers, metrics, settings.addressValidity());
        policy = new HostPolicy(this::view, control, controllers, endpoints, metrics);
        peerRequests = new PeerRequests(control, controllers);
        controllers.documents().onChange(this::documentsChanged);
        publishGauges();
        control.execute(this::firstRun);
        control.every(
                settings.membership().pullInterval(), now -> controllers.pulls().pullNext());
        control.every(settings.membership().storeReadInterval(), controllers.store()::run);
        control.every(DispatchController.TICK, controllers.dispatchers()::tick);
        control.every(SlotClient.TICK, controllers.slots()::tick);
        control.every(RETURN_INTERVAL, controllers.limits()::returnUnspent);
        control.every(OPERATION_TICK, controllers.operations()::tick);
        control.every(
                HostListController.READ_INTERVAL, now -> controllers.hostList().run());
        control.every(VIEW_REFRESH, this::refreshView);
        control.every(TIDY_INTERVAL, this::tidy);
        Event.named("host-started")
                .with("host", self)
                .with("data_centre", settings.dataCentre())
                .with("callers", Peers.textOf(callerAddress()))
                .with("peers", Peers.textOf(peerAddress()))
                .log();
    }

    private void firstRun(long nowNanos) {
        controllers.store().run(nowNanos);
        controllers.pulls().pullNext();
    }

    private void documentsChanged() {
        long now = System.nanoTime();
        controllers.limits().documentsChanged(now);
        controllers.operations().documentsChanged(now);
        controllers.dispatchers().documentsChanged(now);
        controllers.pulls().announce();
        refreshView(now);
        if (controllers.board().isMarkedLeaving()) {
            leavingRequested.complete(true);
        }
        if (controllers.board().isRemoved() && !controllers.board().isStopping()) {
            Event.named("host-removed").with("host", self).warn();
            removed.complete(true);
        }
    }

    private void refreshView(long nowNanos) {
        view = controllers.board().snapshot(nowNanos);
    }

    private void tidy(long nowNanos) {
        controllers.limits().tidy(nowNanos);
        controllers.peers().tidy(nowNanos);
    }

    private void publishGauges() {
        metrics.gauge("peer_sent_bytes", peerTraffic::sentBytes);
        metrics.gauge("peer_received_bytes", peerTraffic::receivedBytes);
        metrics.gauge("requests_in_progress", proxy::requestsInProgress);
        metrics.gauge("control_queue", control::queuedTasks);
        metrics.gauge("configuration_version", () -> view.activeConfiguration().version());
    }

    private CompletionStage<Message> answerPeer(HostId from, Message request) {
        PeerRequests handler = peerRequests;
        return handler == null
                ? CompletableFuture.failedFuture(new IllegalStateException("the host is starting"))
                : handler.handle(from, request);
    }

    private CompletionStage<Admission> admit(RequestHead head, long nowNanos) {
        HostPolicy current = policy;
        return current == null
                ? CompletableFuture.completedFuture(HostPolicy.starting())
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
