package org.auburnhoist.host;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.dispatch.DispatcherPlacement;
import org.auburnhoist.core.dispatch.LocalServerSelector;
import org.auburnhoist.core.dispatch.Observation;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.PullRequest;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.peer.CallResult;
import org.jspecify.annotations.Nullable;

/**
 * Gets slots for this host's requests from the services' dispatchers.
 *
 * <p>A dispatcher may hold a request in its queue, so a late answer does not mean that it is gone. If nothing was heard
 * from its host for a while, the host is probed; a host that does not answer the probe is passed over for a time, and
 * the requests that wait for it go to the next host in the order. When no dispatcher answers, this host chooses a
 * server itself.
 */
final class SlotClient {
    /** How often requests that wait for another host are looked at. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private static final long PROBE_AFTER_NANOS = Duration.ofMillis(100).toNanos();
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);
    private static final long SUSPECT_NANOS = Duration.ofSeconds(2).toNanos();
    private static final Duration MAX_CONTACT_AGE = Duration.ofSeconds(4);
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_DISPATCHERS_TRIED = 3;

    private final Blackboard board;
    private final MemberCalls peers;
    private final DispatchController dispatchers;
    private final RandomGenerator random;
    private final DispatcherPlacement placement = new DispatcherPlacement();
    private final Map<HostId, Long> suspectUntil = new HashMap<>();
    private final Map<HostId, Long> probedAt = new HashMap<>();
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final Map<String, LocalServerSelector> localSelectors = new HashMap<>();
    private long localConfigurationVersion;
    private long nextPending;

    SlotClient(Blackboard board, MemberCalls peers, DispatchController dispatchers, RandomGenerator random) {
        this.board = board;
        this.peers = peers;
        this.dispatchers = dispatchers;
        this.random = random;
    }

    /**
     * A slot for one attempt.
     *
     * @param server the server's name
     * @param dispatcher the host that granted it, null if this host chose the server itself
     * @param grantId the grant
     * @param request what was asked for
     */
    record Slot(String server, @Nullable HostId dispatcher, long grantId, SlotRequest request) {}

    /**
     * Result of a request for a slot.
     *
     * @param slot the slot, or null if refused
     * @param answer the dispatcher's answer
     */
    record SlotResult(@Nullable Slot slot, SlotAnswer answer) {}

    /** Receives the result on the control thread. */
    interface SlotHandler extends BiConsumer<SlotResult, Long> {}

    private static final class PendingRequest {
        final SlotRequest request;
        final long deadlineNanos;
        final SlotHandler handler;
        int dispatchersTried;

        @Nullable
        HostId dispatcher;

        long sentAtNanos;
        int generation;

        PendingRequest(SlotRequest request, long deadlineNanos, SlotHandler handler) {
            this.request = request;
            this.deadlineNanos = deadlineNanos;
            this.handler = handler;
        }
    }

    /** Asks for a slot. */
    void acquire(SlotRequest request, long nowNanos, SlotHandler handler) {
        long deadline = nowNanos + Duration.ofMillis(request.deadlineMillis()).toNanos();
        PendingRequest wanted = new PendingRequest(request, deadline, handler);
        long id = nextPending++;
        pending.put(id, wanted);
        tryNext(id, wanted, nowNanos);
    }

    /** Returns a slot with what happened. */
    void release(Slot slot, AttemptOutcome outcome, long latencyMicros, long nowNanos) {
        Observation observation = new Observation(
                slot.server(),
                slot.request().trafficClass(),
                board.self(),
                slot.request().fingerprint(),
                outcome,
                latencyMicros);
        LocalServerSelector local = localSelector(slot.request().service(), nowNanos);
        if (slot.dispatcher() == null) {
            local.attemptEnded(observation, nowNanos);
            return;
        }
        local.observe(observation, nowNanos);
        SlotRelease release = new SlotRelease(slot.request().service(), slot.grantId(), outcome, latencyMicros);
        sendRelease(slot.dispatcher(), release, nowNanos);
    }

    /** Probes dispatchers that have not been heard from and lets time pass in the local choices. */
    void tick(long nowNanos) {
        refreshMembers(nowNanos);
        suspectUntil.values().removeIf(until -> until - nowNanos <= 0);
        for (PendingRequest waiting : List.copyOf(pending.values())) {
            HostId dispatcher = waiting.dispatcher;
            if (dispatcher != null && isSilent(dispatcher, waiting.sentAtNanos, nowNanos)) {
                probe(dispatcher, nowNanos);
            }
        }
        localSelectors.values().forEach(choice -> choice.tick(nowNanos));
    }

    /** Number of requests that wait for a slot. */
    int waitingCount() {
        return pending.size();
    }

    private void refreshMembers(long nowNanos) {
        FreshnessTable table = board.freshness();
        if (table != null) {
            placement.setMembers(table.roster().members().stream()
                    .filter(member -> member.state() == MemberState.SERVING)
                    .map(Member::id)
                    .filter(id -> table.isLive(id, MAX_CONTACT_AGE, nowNanos))
                    .toList());
        }
    }

    private void tryNext(long id, PendingRequest wanted, long nowNanos) {
        HostId dispatcher =
                wanted.dispatchersTried >= MAX_DISPATCHERS_TRIED ? null : selectDispatcher(wanted, nowNanos);
        wanted.dispatchersTried++;
        wanted.generation++;
        wanted.dispatcher = dispatcher;
        wanted.sentAtNanos = nowNanos;
        if (dispatcher == null) {
            pending.remove(id);
            wanted.handler.accept(selectLocally(wanted.request, nowNanos), nowNanos);
        } else if (dispatcher.equals(board.self())) {
            dispatchers
                    .request(wanted.request, board.self(), nowNanos)
                    .thenAccept(answer -> handleAnswer(id, wanted, dispatcher, answer, System.nanoTime()));
        } else {
            sendRequest(id, wanted, dispatcher, nowNanos);
        }
    }

    private void sendRequest(long id, PendingRequest wanted, HostId dispatcher, long nowNanos) {
        int generation = wanted.generation;
        Duration left = Duration.ofNanos(Math.max(1_000_000, wanted.deadlineNanos - nowNanos));
        peers.call(dispatcher, wanted.request, left.plusMillis(50), (result, now) -> {
            if (result instanceof CallResult.Answered reply && reply.message() instanceof SlotAnswer answer) {
                handleAnswer(id, wanted, dispatcher, answer, now);
            } else if (pending.get(id) == wanted && wanted.generation == generation) {
                suspectUntil.put(dispatcher, now + SUSPECT_NANOS);
                retryOrRefuse(id, wanted, now);
            }
        });
    }

    private void handleAnswer(long id, PendingRequest wanted, HostId dispatcher, SlotAnswer answer, long nowNanos) {
        boolean current = dispatcher.equals(wanted.dispatcher) && pending.get(id) == wanted;
        boolean granted = answer.verdict() == SlotVerdict.GRANTED;
        if (!current) {
            if (granted) {
                sendRelease(
                        dispatcher,
                        new SlotRelease(wanted.request.service(), answer.grantId(), AttemptOutcome.ABANDONED, 0),
                        nowNanos);
            }
            return;
        }
        if (answer.verdict() == SlotVerdict.UNKNOWN_SERVICE) {
            retryOrRefuse(id, wanted, nowNanos);
            return;
        }
        pending.remove(id);
        Slot slot = granted ? new Slot(answer.server(), dispatcher, answer.grantId(), wanted.request) : null;
        wanted.handler.accept(new SlotResult(slot, answer), nowNanos);
    }

    private void retryOrRefuse(long id, PendingRequest wanted, long nowNanos) {
        if (wanted.deadlineNanos - nowNanos <= 0) {
            pending.remove(id);
            wanted.handler.accept(overloadedResult(), nowNanos);
        } else {
            tryNext(id, wanted, nowNanos);
        }
    }

    private @Nullable HostId selectDispatcher(PendingRequest wanted, long nowNanos) {
        refreshMembers(nowNanos);
        return placement.order(wanted.request.service()).stream()
                .filter(candidate -> !suspectUntil.containsKey(candidate))
                .filter(candidate -> !candidate.equals(wanted.dispatcher))
                .findFirst()
                .orElse(null);
    }

    private boolean isSilent(HostId dispatcher, long sentAtNanos, long nowNanos) {
        if (dispatcher.equals(board.self())) {
            return false;
        }
        Long heard = peers.lastAnswerNanos(dispatcher);
        long lastHeard = heard == null ? sentAtNanos : Math.max(heard, sentAtNanos);
        return nowNanos - lastHeard > PROBE_AFTER_NANOS;
    }

    private void probe(HostId dispatcher, long nowNanos) {
        Long probed = probedAt.get(dispatcher);
        if (probed != null && nowNanos - probed < PROBE_TIMEOUT.toNanos()) {
            return;
        }
        probedAt.put(dispatcher, nowNanos);
        peers.call(dispatcher, new PullRequest(0, 0), PROBE_TIMEOUT, (result, now) -> {
            if (!(result instanceof CallResult.Answered)) {
                suspectUntil.put(dispatcher, now + SUSPECT_NANOS);
                retryPendingOf(dispatcher, now);
            }
        });
    }

    private void retryPendingOf(HostId dispatcher, long nowNanos) {
        Map<Long, PendingRequest> affected = new HashMap<>(pending);
        affected.forEach((id, waiting) -> {
            if (dispatcher.equals(waiting.dispatcher)) {
                retryOrRefuse(id, waiting, nowNanos);
            }
        });
    }

    private SlotResult selectLocally(SlotRequest request, long nowNanos) {
        return localSelector(request.service(), nowNanos)
                .select(request, nowNanos)
                .map(server -> new SlotResult(
                        new Slot(server, null, 0, request), new SlotAnswer(SlotVerdict.GRANTED, server, 0, 0)))
                .orElseGet(SlotClient::overloadedResult);
    }

    private static SlotResult overloadedResult() {
        return new SlotResult(null, new SlotAnswer(SlotVerdict.OVERLOADED, "", 0, 1_000));
    }

    private LocalServerSelector localSelector(String service, long nowNanos) {
        if (board.activeConfiguration().version() > localConfigurationVersion) {
            localConfigurationVersion = board.activeConfiguration().version();
            localSelectors.forEach((name, choice) -> configure(choice, name, nowNanos));
        }
        return localSelectors.computeIfAbsent(service, name -> {
            LocalServerSelector created = new LocalServerSelector(board.self(), random);
            configure(created, name, nowNanos);
            return created;
        });
    }

    private void configure(LocalServerSelector choice, String name, long nowNanos) {
        Service service = board.activeConfiguration().configuration().services().get(name);
        if (service != null) {
            choice.configure(service, nowNanos);
        }
    }

    private void sendRelease(HostId dispatcher, SlotRelease release, long nowNanos) {
        if (dispatcher.equals(board.self())) {
            dispatchers.release(release, board.self(), nowNanos);
        } else {
            peers.call(dispatcher, release, RELEASE_TIMEOUT, (result, now) -> {});
        }
    }
}
