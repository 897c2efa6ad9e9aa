package org.auburnhoist.gateway;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.PullRequest;
import org.auburnhoist.core.message.QuotaHandoverRequest;
import org.auburnhoist.core.message.QuotaTakeoverRequest;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.StatusReport;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.host.HostMetrics;
import org.auburnhoist.host.MemberCalls;
import org.auburnhoist.host.PeerCalls;
import org.auburnhoist.peer.PeerClient;
import org.auburnhoist.peer.PeerServer;
import org.auburnhoist.peer.PeerSettings;
import org.auburnhoist.peer.TrafficCounter;
import org.auburnhoist.proxy.Admission;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.proxy.ProxySettings;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.RequestPolicy;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.support.Closer;
import org.auburnhoist.support.Event;
import org.auburnhoist.support.LogFormatter;
import org.auburnhoist.support.Supervisor;
import org.auburnhoist.support.WatchedPart;
import org.jspecify.annotations.Nullable;

/**
 * An entry host of a fleet on a platform.
 *
 * <pre>{@code
 * GatewayHost host = GatewayHost.start(settings, binding, store, supervisor);
 * ...
 * host.stop().join();   // planned stop: drains the requests in progress
 * }</pre>
 */
public final class GatewayHost implements AutoCloseable {
    /** Short compared with the limits for leaving servers and changes, which are seconds. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(5);
    /** After this time without a connection another server is tried; a round trip takes milliseconds. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    /** Shorter than the time for which servers usually keep idle connections. */
    private static final Duration UPSTREAM_IDLE_EXPIRY = Duration.ofSeconds(4);
    /** Longer than the idle time after which callers still reuse connections. */
    private static final Duration CALLER_IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final GatewaySettings settings;
    private final PlatformBinding binding;
    private final Store store;
    private final Supervisor supervisor;
    private final WatchedPart controlProgress;
    private final Closer closer;
    private final HostId self;
    private final ControlThread control;
    private final HostMetrics metrics = new HostMetrics();
    private final RandomGenerator random;
    private final FleetView fleet;
    private final ServerNotices notices = new ServerNotices();
    private final StartupQueue startupQueue;
    private final StoreCache cache;
    private final StorePoller poller;
    private final MembershipLease lease;
    private final ProxyServer proxy;
    private final long startNanos;
    private volatile @Nullable JoinedComponents joinedComponents;
    private volatile boolean joined;
    private volatile boolean stopping;

    /** The components that need the fleet's secret. */
    private record JoinedComponents(
            FleetSync sync,
            FleetRecordExchange crashes,
            SlotBroker slots,
            QuotaBroker quotas,
            PeerCalls peers,
            RequestPolicy policy) {}

    private GatewayHost(
            GatewaySettings settings, PlatformBinding binding, Store store, Supervisor supervisor, Closer closer)
            throws IOException {
        this.settings = settings;
        this.binding = binding;
        this.store = store;
        this.supervisor = supervisor;
        this.controlProgress = supervisor.watch("control");
        this.closer = closer;
        SecureRandom secure = new SecureRandom();
        this.self = new HostId(settings.name(), secure.nextLong());
        this.random = new SplittableRandom(secure.nextLong());
        this.control = closer.register(new ControlThread("control"));
        FleetMember member = new FleetMember(
                self,
                MemberCalls.formatAddress(settings.peerAddress()),
                MemberCalls.formatAddress(settings.callerAddress()),
                settings.dataCentre(),
                false,
                settings.capacity());
        long now = System.nanoTime();
        this.startNanos = now;
        this.fleet = new FleetView(member);
        this.startupQueue = new StartupQueue(control);
        this.cache = new StoreCache(binding, fleet, startupQueue::open, this::serversChanged, this::membersChanged);
        this.lease = new MembershipLease(store, control, member, random, now);
        this.poller = new StorePoller(
                store, control, binding, cache, fleet, settings.name(), this::ownEntryMissing, random, now);
        this.proxy = closer.register(ProxyServer.start(proxySettings(secure.nextLong()), this::admit));
    }

    /**
     * Starts a host that joins the fleet as soon as it reaches the store.
     *
     * @param settings the host's settings
     * @param binding adapter to the names and encodings of the platform
     * @param store the platform's store; the caller closes it
     * @param supervisor receives the progress of the host's parts
     * @throws IOException if an address is not available
     */
    public static GatewayHost start(
            GatewaySettings settings, PlatformBinding binding, Store store, Supervisor supervisor) throws IOException {
        Closer closer = new Closer();
        try {
            GatewayHost host = new GatewayHost(settings, binding, store, supervisor, closer);
            host.begin();
            return host;
        } catch (IOException | RuntimeException cause) {
            closer.close();
            throw cause;
        }
    }

    /** Begins a planned stop; completes when the last request has finished and the host is closed. */
    public CompletableFuture<Void> stop() {
        stopping = true;
        // From here on parts end as planned, and the platform ends a stop that takes too long.
        supervisor.close();
        return new GatewayShutdown(settings, control, this::leave, lease::end, proxy)
                .begin(System.nanoTime())
                .thenRun(this::close);
    }

    private void leave(long nowNanos) {
        JoinedComponents components = joinedComponents;
        if (components != null) {
            // The lease must still be held when the teams are handed over.
            components.quotas().leave(nowNanos);
        }
        lease.markLeaving(nowNanos);
    }

    /** Stops at once without draining, as in a crash. */
    @Override
    public void close() {
        supervisor.close();
        poller.close();
        closer.close();
    }

    /** Whether a new caller would be accepted and served now. */
    boolean isReady() {
        return joined && !stopping && cache.hasConfiguration() && proxy.isAccepting() && supervisor.isHealthy();
    }

    private ProxySettings proxySettings(long seed) {
        PlatformQueries queries =
                new PlatformQueries(binding, settings, control, fleet, this::isReady, metrics, new Random(seed));
        ProxySettings.Builder builder = ProxySettings.builder()
                .listenAddress(settings.callerAddress())
                .hostName(settings.name())
                .requestIdPrefix(settings.name() + "-" + Long.toHexString(self.incarnation()))
                .ioThreads(1, 1)
                .connectTimeout(CONNECT_TIMEOUT)
                .upstreamIdleExpiry(UPSTREAM_IDLE_EXPIRY)
                .callerIdleTimeout(CALLER_IDLE_TIMEOUT)
                .supervisor(supervisor)
                .maxCallerConnections(settings.maxCallerConnections())
                .wireRules(binding.wireRules());
        if (settings.readinessAddress() != null) {
            builder.reservedListener(settings.readinessAddress(), queries);
        }
        if (settings.directoryAddress() != null) {
            builder.additionalListener(settings.directoryAddress(), queries);
        }
        return builder.build();
    }

    private void begin() {
        metrics.registerGauge("requests_in_progress", proxy::requestsInProgress);
        metrics.registerGauge("store_returns", cache::storeReturns);
        metrics.registerGauge("registrations_unusable", poller::unusableRegistrations);
        metrics.registerGauge("log_lines_left_out", LogFormatter::linesLeftOut);
        metrics.registerGauge(
                "configuration_version", () -> cache.router().configuration().version());
        Event.named("host-started")
                .with("host", self)
                .with("data_centre", settings.dataCentre())
                .with("callers", MemberCalls.formatAddress(settings.callerAddress()))
                .with("peers", MemberCalls.formatAddress(settings.peerAddress()))
                .log();
        control.scheduleWithFixedDelay(TICK_INTERVAL, this::tick);
        control.scheduleWithFixedDelay(CLEANUP_INTERVAL, this::cleanUp);
        new FleetBootstrap(store, control, random).load(settings.firstStart()).thenAccept(this::bootstrapCompleted);
    }

    private void bootstrapCompleted(FleetBootstrap.BootstrapState state) {
        ThreadFactory threads = task -> {
            Thread thread = new Thread(task, "peer");
            thread.setDaemon(true);
            return thread;
        };
        try {
            AsynchronousChannelGroup group = AsynchronousChannelGroup.withFixedThreadPool(1, threads);
            closer.register(group::shutdownNow);
            ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(threads);
            closer.register(timer::shutdownNow);
            PeerSettings peerSettings = PeerSettings.of(self, state.secret());
            TrafficCounter traffic = new TrafficCounter();
            metrics.registerGauge("peer_sent_bytes", traffic::sentBytes);
            closer.register(
                    PeerServer.start(peerSettings, settings.peerAddress(), group, this::handlePeerRequest, traffic));
            PeerClient client = closer.register(new PeerClient(peerSettings, group, timer, traffic));
            join(new PeerCalls(client, control), state);
        } catch (IOException cause) {
            Event.named("peers-not-started").with("cause", cause).warn();
        }
    }

    private void join(PeerCalls peers, FleetBootstrap.BootstrapState state) {
        ReadResult.Found entries = state.entries();
        long now = System.nanoTime();
        SlotBroker slots =
                new SlotBroker(fleet, cache, peers, control, self, settings, random, lease::isHeld, startNanos);
        QuotaBroker quotas = new QuotaBroker(fleet, cache, peers, control, settings, lease::isHeld, random, startNanos);
        GatewayComponents gatewayComponents =
                new GatewayComponents(settings, control, cache, slots, notices, quotas, metrics, proxy::idleUpstreams);
        FleetRecordExchange crashes = new FleetRecordExchange(new CrashFleetRecord(slots.quarantine()), peers);
        FleetSync sync = new FleetSync(fleet, cache, peers, crashes, settings.name(), this::isReady, random, now);
        joinedComponents = new JoinedComponents(
                sync, crashes, slots, quotas, peers, new GatewayPolicy(binding, gatewayComponents, random.nextLong()));
        entries.entries().stream()
                .filter(entry -> entry.key().equals(GatewayKeys.memberKey(settings.name())))
                .forEach(entry -> {
                    lease.entrySeen(entry.position());
                    if (!isLeaving(entry)) {
                        quotas.resumeOwnership();
                    }
                });
        poller.onMembersRead(new SecretRestorer(
                store, control, state.secret(), entries.position().era())::storeRead);
        poller.joined(entries, now);
        joined = true;
        tick(now);
    }

    private static boolean isLeaving(Entry entry) {
        try {
            return FleetCodec.member(entry.value()).leaving();
        } catch (IOException cause) {
            Event.named("member-unreadable")
                    .with("key", entry.key())
                    .with("cause", cause)
                    .warn();
            return true;
        }
    }

    private void tick(long nowNanos) {
        controlProgress.progressed();
        JoinedComponents components = joinedComponents;
        if (components == null) {
            return;
        }
        lease.tick(nowNanos);
        components.sync().tick(nowNanos);
        poller.tick(components.sync().isCoordinator(nowNanos), nowNanos);
    }

    private void cleanUp(long nowNanos) {
        JoinedComponents components = joinedComponents;
        if (components != null) {
            components.peers().cleanUp(id -> fleet.member(id.name()) == null, nowNanos);
            notices.removeExpired(cache.servers(), nowNanos);
        }
    }

    private void serversChanged() {
        JoinedComponents components = joinedComponents;
        if (components != null) {
            long now = System.nanoTime();
            notices.removeExpired(cache.servers(), now);
            components.slots().serversChanged(now);
        }
    }

    private void membersChanged() {
        JoinedComponents components = joinedComponents;
        if (components != null) {
            components.quotas().membersChanged(System.nanoTime());
            components.slots().membersChanged();
        }
    }

    private void ownEntryMissing() {
        lease.entryMissing(System.nanoTime());
    }

    private CompletionStage<Admission> admit(RequestHead head, long nowNanos) {
        JoinedComponents components = joinedComponents;
        if (components != null && cache.hasConfiguration()) {
            return components.policy().admit(head, nowNanos);
        }
        return startupQueue.enqueue(binding.requestMetadata(head).remainingMillis(), () -> {
            JoinedComponents joinedLater = joinedComponents;
            return joinedLater == null
                    ? CompletableFuture.failedFuture(new IllegalStateException("the host is starting"))
                    : joinedLater.policy().admit(head, nowNanos);
        });
    }

    private CompletionStage<Message> handlePeerRequest(HostId from, Message request) {
        return control.computeAsync((answer, now) -> dispatchPeerRequest(from, request, now, answer));
    }

    private void dispatchPeerRequest(HostId from, Message request, long nowNanos, CompletableFuture<Message> answer) {
        JoinedComponents components = joinedComponents;
        if (components == null) {
            answer.completeExceptionally(new IllegalStateException("the host is starting"));
        } else if (request instanceof SlotRequest slot) {
            components.slots().handleRequest(slot, from, nowNanos, (decided, now) -> answer.complete(decided));
        } else if (request instanceof SlotRelease release) {
            components.slots().handleRelease(release, from, nowNanos);
            answer.complete(new Acknowledgement(true));
        } else if (request instanceof TokenRequest token) {
            answer.complete(components.quotas().handleTokenRequest(token, nowNanos));
        } else if (request instanceof QuotaTakeoverRequest takeover) {
            answer.complete(components.quotas().handleTakeover(takeover, from, nowNanos));
        } else if (request instanceof QuotaHandoverRequest handover) {
            components.quotas().handleHandover(handover, from, nowNanos);
            answer.complete(new Acknowledgement(true));
        } else if (request instanceof StatusReport report) {
            answer.complete(components.sync().handleReport(from, report, nowNanos));
        } else if (components.crashes().handles(request)) {
            answer.complete(components.crashes().handle(request, from, nowNanos));
        } else {
            // A probe needs only some answer.
            answer.complete(new Acknowledgement(request instanceof PullRequest));
        }
    }
}
