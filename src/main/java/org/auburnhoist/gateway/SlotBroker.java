package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.dispatch.LimitShares;
import org.auburnhoist.core.dispatch.PriorityDispatcher;
import org.auburnhoist.core.dispatch.PriorityDispatcherSettings;
import org.auburnhoist.core.dispatch.Quarantine;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.PullRequest;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.host.ControlScheduler;
import org.auburnhoist.host.HostCalls;
import org.auburnhoist.host.MemberCalls;
import org.auburnhoist.peer.CallResult;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Acquires slots from the hosts that dispatch the services, and dispatches the services that are assigned to this host.
 * Confined to the control thread.
 *
 * <p>A dispatcher may hold a request in its queue, so a late answer does not mean that the dispatcher has failed. A
 * dispatcher that has been silent for a while is probed; while it does not answer, the next one in the placement order
 * is asked. When none answers, this host selects a server based on its own observations.
 */
final class SlotBroker {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final long PROBE_AFTER_NANOS = Duration.ofMillis(150).toNanos();
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(250);
    private static final long SUSPECT_NANOS = Duration.ofSeconds(2).toNanos();
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_DISPATCHERS_ASKED = 2;
    private static final long REFUSED_RETRY_MILLIS = 300;
    /** Requests to the users' services take a few tenths of a second. */
    private static final Duration INITIAL_HOLD_TIME = Duration.ofMillis(300);
    /** Retry delay for callers whose request is beyond the retry budget. */
    private static final long BUDGET_RETRY_MILLIS = 100;

    private final FleetView fleet;
    private final StoreCache cache;
    private final HostCalls peers;
    private final ControlScheduler delays;
    private final HostId self;
    private final GatewaySettings settings;
    private final RandomGenerator random;
    private final RetryBudgets budgets;
    private final LimitShares limitShares;
    private final Quarantine quarantine = new Quarantine();
    private final Map<String, ServiceDispatch> dispatches = new HashMap<>();
    private final Map<String, ServiceDispatch> localDispatches = new HashMap<>();
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final Map<HostId, Long> probedAt = new HashMap<>();
    private long nextToken;
    private boolean ticking;

    /**
     * A slot for one attempt.
     *
     * @param server the server's ID
     * @param address its IP address and port
     * @param dispatcher the host that granted it, null if this host selected the server itself
     * @param grantId ID of the grant
     * @param service the service
     * @param serversRevision the store's position at which the dispatcher last knew the servers
     */
    record Slot(
            String server,
            String address,
            @Nullable FleetMember dispatcher,
            long grantId,
            String service,
            StorePosition serversPosition) {}

    /**
     * Result of a request for a slot.
     *
     * @param slot the slot, or null if refused
     * @param answer the dispatcher's answer
     */
    record SlotResult(@Nullable Slot slot, SlotAnswer answer) {}

    private static final class PendingRequest {
        final SlotRequest request;
        final long deadlineNanos;
        final BiConsumer<SlotResult, Long> handler;
        int asked;
        int generation;
        long sentAtNanos;

        @Nullable
        FleetMember dispatcher;

        PendingRequest(SlotRequest request, long deadlineNanos, BiConsumer<SlotResult, Long> handler) {
            this.request = request;
            this.deadlineNanos = deadlineNanos;
            this.handler = handler;
        }
    }

    SlotBroker(
            FleetView fleet,
            StoreCache cache,
            HostCalls peers,
            ControlScheduler delays,
            HostId self,
            GatewaySettings settings,
            RandomGenerator random,
            LongPredicate membershipValid,
            long startedNanos) {
        this.fleet = fleet;
        this.cache = cache;
        this.peers = peers;
        this.delays = delays;
        this.self = self;
        this.settings = settings;
        this.random = random;
        this.limitShares = new LimitShares(fleet, self.name(), membershipValid);
        this.budgets = new RetryBudgets(settings.retryBudget(), random, startedNanos);
    }

    /** Counts a caller's request before its first slot is requested. */
    void requestStarted(String service, long nowNanos) {
        budgets.requestStarted(service, nowNanos);
    }

    /** What this host knows of requests that crash servers, whoever dispatches their services. */
    Quarantine quarantine() {
        return quarantine;
    }

    /** Requests a slot; the handler receives the result. */
    void acquire(SlotRequest request, long nowNanos, BiConsumer<SlotResult, Long> handler) {
        long quarantined = quarantine.remainingNanos(request.fingerprint(), nowNanos);
        if (quarantined > 0) {
            long millis = Duration.ofNanos(quarantined).toMillis() + 1;
            handler.accept(new SlotResult(null, new SlotAnswer(SlotVerdict.QUARANTINED, "", 0, millis)), nowNanos);
            return;
        }
        budgets.updateHostCount(fleet.members().size());
        if (!budgets.tryAttempt(request.service(), request.scheduling().attempt(), nowNanos)) {
            SlotAnswer refused = new SlotAnswer(SlotVerdict.OVERLOADED, "", 0, BUDGET_RETRY_MILLIS);
            handler.accept(new SlotResult(null, refused), nowNanos);
            return;
        }
        long deadline = nowNanos + Duration.ofMillis(request.deadlineMillis()).toNanos();
        long id = nextToken++;
        PendingRequest entry = new PendingRequest(request, deadline, handler);
        pending.put(id, entry);
        startTicking();
        askNextDispatcher(id, entry, nowNanos);
    }

    /** Returns a slot with the outcome of the attempt, if the server sent no notice about further requests. */
    void release(Slot slot, AttemptOutcome outcome, long latencyMicros, long nowNanos) {
        release(slot, outcome, latencyMicros, ServerNotice.NONE, nowNanos);
    }

    /** Returns a slot with the outcome of the attempt and the server's notice about further requests of this host. */
    void release(Slot slot, AttemptOutcome outcome, long latencyMicros, ServerNotice notice, long nowNanos) {
        SlotRelease release = new SlotRelease(slot.service(), slot.grantId(), outcome, latencyMicros, notice);
        FleetMember dispatcher = slot.dispatcher();
        if (dispatcher == null) {
            ServiceDispatch local = localDispatches.get(slot.service());
            if (local != null) {
                local.release(release, self, nowNanos);
            }
        } else if (dispatcher.id().equals(self)) {
            handleRelease(release, self, nowNanos);
        } else {
            peers.call(
                    MemberCalls.parseAddress(dispatcher.peerAddress()), release, RELEASE_TIMEOUT, (result, now) -> {});
        }
    }

    /** Handles a slot request of this or another host for a service that this host dispatches. */
    void handleRequest(SlotRequest request, HostId requester, long nowNanos, ServiceDispatch.ReplyHandler reply) {
        requestLocally(dispatch(request.service(), nowNanos), request, requester, nowNanos, reply);
    }

    /** Handles the return of a slot that this host granted. */
    void handleRelease(SlotRelease release, HostId requester, long nowNanos) {
        ServiceDispatch dispatch = dispatches.get(release.service());
        if (dispatch != null) {
            dispatch.updateLimitShare(limitShares.share(release.service(), nowNanos));
            dispatch.release(release, requester, nowNanos);
        }
    }

    void membersChanged() {
        limitShares.membersChanged();
    }

    void serversChanged(long nowNanos) {
        for (Map<String, ServiceDispatch> dispatchMap : List.of(dispatches, localDispatches)) {
            Map.copyOf(dispatchMap)
                    .forEach((service, dispatch) -> dispatch.updateServers(cache.serversOf(service), nowNanos));
        }
    }

    /** Schedules the next tick while anything waits; a host without requests is not woken up. */
    private void startTicking() {
        if (!ticking) {
            ticking = true;
            delays.schedule(TICK_INTERVAL, this::tick);
        }
    }

    private void tick(long nowNanos) {
        ticking = false;
        Map.copyOf(dispatches)
                .forEach((service, dispatch) -> dispatch.updateLimitShare(limitShares.share(service, nowNanos)));
        for (Map<String, ServiceDispatch> dispatchMap : List.of(dispatches, localDispatches)) {
            List.copyOf(dispatchMap.values()).forEach(dispatch -> dispatch.tick(nowNanos));
        }
        for (PendingRequest entry : List.copyOf(pending.values())) {
            FleetMember dispatcher = entry.dispatcher;
            if (dispatcher != null && isSilent(dispatcher, entry.sentAtNanos, nowNanos)) {
                probe(dispatcher, nowNanos);
            }
        }
        if (!pending.isEmpty() || dispatches.values().stream().anyMatch(ServiceDispatch::isActive)) {
            startTicking();
        }
    }

    /**
     * Whether the server of a slot may get requests as far as this host knows. It may have begun to leave since it was
     * selected, and a dispatcher that has lost the store selects servers that left before.
     */
    boolean isUsable(Slot slot) {
        UpstreamServer known = cache.server(slot.server());
        if (known != null) {
            return !known.leaving();
        }
        // The dispatcher may know of a new server before this host does.
        boolean usable =
                !cache.isHeldBack(slot.server()) && slot.serversPosition().isReachedAfter(cache.serversKnownPosition());
        if (!usable) {
            FleetMember dispatcher = slot.dispatcher();
            Event.named("grant-outdated")
                    .with("server", slot.server())
                    .with(
                            "dispatcher",
                            dispatcher == null ? self.name() : dispatcher.id().name())
                    .with("dispatcher_position", slot.serversPosition())
                    .with("position", cache.serversKnownPosition())
                    .log();
        }
        return usable;
    }

    private void requestLocally(
            ServiceDispatch dispatch,
            SlotRequest request,
            HostId requester,
            long nowNanos,
            ServiceDispatch.ReplyHandler reply) {
        startTicking();
        dispatch.request(
                request,
                requester,
                nextToken++,
                nowNanos,
                (answer, now) ->
                        reply.accept(answer.withServersPosition(cache.registeredPosition(answer.server())), now));
    }

    private ServiceDispatch dispatch(String service, long nowNanos) {
        ServiceDispatch dispatch =
                dispatches.computeIfAbsent(service, name -> createDispatch(name, "dispatcher", nowNanos));
        dispatch.updateLimitShare(limitShares.share(service, nowNanos));
        return dispatch;
    }

    private ServiceDispatch localDispatch(String service, long nowNanos) {
        ServiceDispatch dispatch =
                localDispatches.computeIfAbsent(service, name -> createDispatch(name, "local-choice", nowNanos));
        // Any number of hosts may choose by themselves at the same time.
        dispatch.updateLimitShare(0);
        return dispatch;
    }

    private ServiceDispatch createDispatch(String service, String kind, long nowNanos) {
        Event.named("dispatch-started")
                .with("service", service)
                .with("kind", kind)
                .with("members", fleet.members().size())
                .log();
        PriorityDispatcherSettings dispatcherSettings =
                new PriorityDispatcherSettings(settings.floor(), INITIAL_HOLD_TIME);
        ServiceDispatch created =
                new ServiceDispatch(service, new PriorityDispatcher(dispatcherSettings, quarantine, random), nowNanos);
        created.updateServers(cache.serversOf(service), nowNanos);
        return created;
    }

    private void askNextDispatcher(long id, PendingRequest entry, long nowNanos) {
        entry.asked++;
        entry.generation++;
        entry.sentAtNanos = nowNanos;
        FleetMember dispatcher = entry.asked > MAX_DISPATCHERS_ASKED
                ? null
                : fleet.firstAlive(LimitShares.placementKey(entry.request.service()), nowNanos);
        entry.dispatcher = dispatcher;
        if (dispatcher == null) {
            requestLocally(
                    localDispatch(entry.request.service(), nowNanos),
                    entry.request,
                    self,
                    nowNanos,
                    (answer, now) -> handleAnswer(id, entry, null, answer, now));
        } else if (dispatcher.id().equals(self)) {
            handleRequest(
                    entry.request, self, nowNanos, (answer, now) -> handleAnswer(id, entry, dispatcher, answer, now));
        } else {
            askRemote(id, entry, dispatcher, nowNanos);
        }
    }

    private void askRemote(long id, PendingRequest entry, FleetMember dispatcher, long nowNanos) {
        int generation = entry.generation;
        Duration remaining = Duration.ofNanos(Math.max(1_000_000, entry.deadlineNanos - nowNanos));
        peers.call(
                MemberCalls.parseAddress(dispatcher.peerAddress()),
                entry.request,
                remaining.plusMillis(50),
                (result, now) -> {
                    if (result instanceof CallResult.Answered reply && reply.message() instanceof SlotAnswer answer) {
                        handleAnswer(id, entry, dispatcher, answer, now);
                    } else if (pending.get(id) == entry && entry.generation == generation) {
                        fleet.suspect(dispatcher.id().name(), now + SUSPECT_NANOS);
                        retry(id, entry, now);
                    }
                });
    }

    private void handleAnswer(
            long id, PendingRequest entry, @Nullable FleetMember dispatcher, SlotAnswer answer, long nowNanos) {
        boolean granted = answer.verdict() == SlotVerdict.GRANTED;
        Slot slot = granted
                ? new Slot(
                        answer.server(),
                        answer.address(),
                        dispatcher,
                        answer.grantId(),
                        entry.request.service(),
                        answer.serversPosition())
                : null;
        if (pending.get(id) != entry || !Objects.equals(entry.dispatcher, dispatcher)) {
            if (slot != null) {
                release(slot, AttemptOutcome.ABANDONED, 0, nowNanos);
            }
            return;
        }
        pending.remove(id);
        entry.handler.accept(new SlotResult(slot, answer), nowNanos);
    }

    private void retry(long id, PendingRequest entry, long nowNanos) {
        if (entry.deadlineNanos - nowNanos <= 0) {
            pending.remove(id);
            SlotAnswer refused = new SlotAnswer(SlotVerdict.OVERLOADED, "", 0, REFUSED_RETRY_MILLIS);
            entry.handler.accept(new SlotResult(null, refused), nowNanos);
        } else {
            askNextDispatcher(id, entry, nowNanos);
        }
    }

    private boolean isSilent(FleetMember dispatcher, long sentAtNanos, long nowNanos) {
        if (dispatcher.id().equals(self)) {
            return false;
        }
        Long answered = peers.lastAnswerNanos(dispatcher.id());
        long lastContact = answered == null || sentAtNanos - answered > 0 ? sentAtNanos : answered;
        return nowNanos - lastContact > PROBE_AFTER_NANOS;
    }

    private void probe(FleetMember dispatcher, long nowNanos) {
        Long probed = probedAt.get(dispatcher.id());
        if (probed != null && nowNanos - probed < PROBE_TIMEOUT.toNanos()) {
            return;
        }
        probedAt.put(dispatcher.id(), nowNanos);
        peers.call(
                MemberCalls.parseAddress(dispatcher.peerAddress()),
                new PullRequest(0, 0),
                PROBE_TIMEOUT,
                (result, now) -> {
                    if (!(result instanceof CallResult.Answered)) {
                        fleet.suspect(dispatcher.id().name(), now + SUSPECT_NANOS);
                        retryPendingOf(dispatcher, now);
                    }
                });
    }

    private void retryPendingOf(FleetMember dispatcher, long nowNanos) {
        Map.copyOf(pending).forEach((id, entry) -> {
            FleetMember assigned = entry.dispatcher;
            if (assigned != null && assigned.id().equals(dispatcher.id()) && pending.get(id) == entry) {
                retry(id, entry, nowNanos);
            }
        });
    }
}
