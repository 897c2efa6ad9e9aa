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
 * Acquires slots for this host's requests from the dispatchers of the services.
 *
 * <p>A dispatcher may hold a request in its queue, so a late answer does not mean that the dispatcher has failed. If no
 * answer was received from its host for a while, the host is probed. A host that does not answer the probe is skipped
 * for some time, and the requests that wait for it go to the next host in the placement order. If no dispatcher
 * answers, this host selects a server itself.
 */
final class SlotClient {
    /** Interval at which requests that wait for another host are checked. */
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
     * @param dispatcher the host that granted it, or null if this host selected the server itself
     * @param grantId id of the grant
     * @param request the request for which it was granted
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

    /** Acquires a slot; the handler receives the result. */
    void acquire(SlotRequest request, long nowNanos, SlotHandler handler) {
        long deadline = nowNanos + Duration.ofMillis(request.deadlineMillis()).toNanos();
        PendingRequest waiting = new PendingRequest(request, deadline, handler);
        long id = nextPending++;
        pending.put(id, waiting);
        tryNext(id, waiting, nowNanos);
    }

    /** Releases a slot and reports the outcome of its attempt. */
    void release(Slot slot, AttemptOutcome outcome, long latencyMicros, long nowNanos) {
        Observation observation = new Observation(
                slot.server(),
                slot.request().trafficClass(),
                board.self(),
                slot.request().fingerprint(),
                outcome,
                latencyMicros);
        LocalServerSelector selector = localSelector(slot.request().service(), nowNanos);
        if (slot.dispatcher() == null) {
            selector.attemptEnded(observation, nowNanos);
            return;
        }
        selector.observe(observation, nowNanos);
        SlotRelease release = new SlotRelease(slot.request().service(), slot.grantId(), outcome, latencyMicros);
        sendRelease(slot.dispatcher(), release, nowNanos);
    }

    /** Probes dispatchers that have been silent, and advances the local server selectors to the current time. */
    void tick(long nowNanos) {
        refreshMembers(nowNanos);
        suspectUntil.values().removeIf(until -> until - nowNanos <= 0);
        for (PendingRequest waiting : List.copyOf(pending.values())) {
            HostId dispatcher = waiting.dispatcher;
            if (dispatcher != null && isSilent(dispatcher, waiting.sentAtNanos, nowNanos)) {
                probe(dispatcher, nowNanos);
            }
        }
        localSelectors.values().forEach(selector -> selector.tick(nowNanos));
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

    private void tryNext(long id, PendingRequest waiting, long nowNanos) {
        HostId dispatcher =
                waiting.dispatchersTried >= MAX_DISPATCHERS_TRIED ? null : selectDispatcher(waiting, nowNanos);
        waiting.dispatchersTried++;
        waiting.generation++;
        waiting.dispatcher = dispatcher;
        waiting.sentAtNanos = nowNanos;
        if (dispatcher == null) {
            pending.remove(id);
            waiting.handler.accept(selectLocally(waiting.request, nowNanos), nowNanos);
        } else if (dispatcher.equals(board.self())) {
            dispatchers
                    .request(waiting.request, board.self(), nowNanos)
                    .thenAccept(answer -> handleAnswer(id, waiting, dispatcher, answer, System.nanoTime()));
        } else {
            sendRequest(id, waiting, dispatcher, nowNanos);
        }
    }

    private void sendRequest(long id, PendingRequest waiting, HostId dispatcher, long nowNanos) {
        int generation = waiting.generation;
        Duration left = Duration.ofNanos(Math.max(1_000_000, waiting.deadlineNanos - nowNanos));
        peers.call(dispatcher, waiting.request, left.plusMillis(50), (result, now) -> {
            if (result instanceof CallResult.Answered reply && reply.message() instanceof SlotAnswer answer) {
                handleAnswer(id, waiting, dispatcher, answer, now);
            } else if (pending.get(id) == waiting && waiting.generation == generation) {
                suspectUntil.put(dispatcher, now + SUSPECT_NANOS);
                retryOrRefuse(id, waiting, now);
            }
        });
    }

    private void handleAnswer(long id, PendingRequest waiting, HostId dispatcher, SlotAnswer answer, long nowNanos) {
        boolean current = dispatcher.equals(waiting.dispatcher) && pending.get(id) == waiting;
        boolean granted = answer.verdict() == SlotVerdict.GRANTED;
        if (!current) {
            if (granted) {
                sendRelease(
                        dispatcher,
                        new SlotRelease(waiting.request.service(), answer.grantId(), AttemptOutcome.ABANDONED, 0),
                        nowNanos);
            }
            return;
        }
        if (answer.verdict() == SlotVerdict.UNKNOWN_SERVICE) {
            retryOrRefuse(id, waiting, nowNanos);
            return;
        }
        pending.remove(id);
        Slot slot = granted ? new Slot(answer.server(), dispatcher, answer.grantId(), waiting.request) : null;
        waiting.handler.accept(new SlotResult(slot, answer), nowNanos);
    }

    private void retryOrRefuse(long id, PendingRequest waiting, long nowNanos) {
        if (waiting.deadlineNanos - nowNanos <= 0) {
            pending.remove(id);
            waiting.handler.accept(overloadedResult(), nowNanos);
        } else {
            tryNext(id, waiting, nowNanos);
        }
    }

    private @Nullable HostId selectDispatcher(PendingRequest waiting, long nowNanos) {
        refreshMembers(nowNanos);
        return placement.order(waiting.request.service()).stream()
                .filter(candidate -> !suspectUntil.containsKey(candidate))
                .filter(candidate -> !candidate.equals(waiting.dispatcher))
                .findFirst()
                .orElse(null);
    }

    private boolean isSilent(HostId dispatcher, long sentAtNanos, long nowNanos) {
        if (dispatcher.equals(board.self())) {
            return false;
        }
        Long lastAnswer = peers.lastAnswerNanos(dispatcher);
        long lastContact = lastAnswer == null ? sentAtNanos : Math.max(lastAnswer, sentAtNanos);
        return nowNanos - lastContact > PROBE_AFTER_NANOS;
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
            localSelectors.forEach((name, selector) -> configure(selector, name, nowNanos));
        }
        return localSelectors.computeIfAbsent(service, name -> {
            LocalServerSelector created = new LocalServerSelector(board.self(), random);
            configure(created, name, nowNanos);
            return created;
        });
    }

    private void configure(LocalServerSelector selector, String name, long nowNanos) {
        Service service = board.activeConfiguration().configuration().services().get(name);
        if (service != null) {
            selector.configure(service, nowNanos);
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
