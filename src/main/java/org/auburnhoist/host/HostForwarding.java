package org.auburnhoist.host;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.blackboard.ActiveConfiguration;
import org.auburnhoist.core.configuration.AccessDecision;
import org.auburnhoist.core.configuration.Key;
import org.auburnhoist.core.configuration.Route;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.core.operation.OperationId;
import org.auburnhoist.proxy.Forwarding;
import org.auburnhoist.proxy.RequestHead;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one admitted request: acquires a slot for each attempt, reports each outcome, and writes the access log
 * entry at the end.
 */
final class HostForwarding implements Forwarding {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NO_RETRY_AFTER = -1;

    private volatile HostPolicy.Request request;
    private final @Nullable OperationId operation;
    private final long claimAttempt;
    private final long deadlineNanos;
    private final ControlThread control;
    private final HostControllers controllers;
    private final HostMetrics metrics;
    private volatile long fingerprint;
    private final List<String> failedServers = new ArrayList<>();
    private SlotClient.@Nullable Slot slot;
    private int attempts;
    private int connectionsLost;
    private boolean everSent;

    HostForwarding(
            HostPolicy.Request request,
            @Nullable OperationId operation,
            long claimAttempt,
            long deadlineNanos,
            ControlThread control,
            HostControllers controllers,
            HostMetrics metrics) {
        this.request = request;
        this.operation = operation;
        this.claimAttempt = claimAttempt;
        this.deadlineNanos = deadlineNanos;
        this.control = control;
        this.controllers = controllers;
        this.metrics = metrics;
        this.fingerprint = Fingerprint.of(request.head(), request.path(), request.team());
    }

    @Override
    public TrafficClass trafficClass() {
        return request.route().trafficClass();
    }

    /** Returns the normalized path, so that a server sees the path that the route matched. */
    @Override
    public String rewritePath(String received) {
        return request.path();
    }

    @Override
    public void requestBodyBuffered(byte[] body) {
        fingerprint = Fingerprint.withBody(fingerprint, body);
    }

    @Override
    public long deadlineNanos() {
        return deadlineNanos;
    }

    @Override
    public CompletionStage<Target> nextTarget(long nowNanos) {
        boolean first = attempts == 0;
        CompletableFuture<Target> result = new CompletableFuture<>();
        CompletableFuture<Boolean> accepted = control.compute(now -> {
            Target.NoTarget denied = first ? decideAgain() : null;
            if (denied != null) {
                result.complete(denied);
                return true;
            }
            if (first) {
                controllers.retryBudgets().requestStarted(request.route().service(), now);
            }
            acquireSlot(now, result);
            return true;
        });
        accepted.whenComplete((done, failure) -> {
            if (failure != null) {
                result.complete(new Target.NoTarget(Refusal.SERVICE_OVERLOADED, "this host is overloaded", 1_000));
            }
        });
        return result;
    }

    @Override
    public boolean attemptEnded(AttemptOutcome outcome, boolean sent, long latencyMicros, long nowNanos) {
        SlotClient.Slot used = slot;
        if (used == null) {
            return false;
        }
        slot = null;
        attempts++;
        everSent |= sent;
        connectionsLost += outcome == AttemptOutcome.CONNECTION_LOST ? 1 : 0;
        failedServers.add(used.server());
        request.logEntry().addAttempt(used.server(), outcome, sent, latencyMicros);
        metrics.attemptEnded(outcome);
        control.execute(now -> controllers.slots().release(used, outcome, latencyMicros, now));
        boolean failed = outcome != AttemptOutcome.SUCCESS && outcome != AttemptOutcome.ABANDONED;
        // If nothing of a booking was sent, it can be retried on another server like an idempotent request.
        TrafficClass effective = everSent ? trafficClass() : TrafficClass.LOOKUP;
        return failed
                && deadlineNanos - nowNanos > 0
                && controllers
                        .retryBudgets()
                        .tryRetry(request.route().service(), effective, attempts, connectionsLost, nowNanos);
    }

    @Override
    public void finished(
            int status,
            @Nullable Refusal refusal,
            @Nullable RecordedResponse recorded,
            boolean complete,
            long nowNanos) {
        long micros = (nowNanos - request.startNanos()) / 1_000;
        request.logEntry().logCompletion(status, refusal, complete, micros);
        metrics.requestFinished(trafficClass(), request.team(), status, refusal, micros);
        OperationId id = operation;
        if (id != null) {
            ClaimResult result = claimResult(refusal, recorded);
            ClaimOutcome claimOutcome = new ClaimOutcome(
                    id.encode(), claimAttempt, result, result == ClaimResult.ANSWERED ? recorded : null);
            control.execute(now -> controllers.operations().report(id, claimOutcome, now));
        }
    }

    private ClaimResult claimResult(@Nullable Refusal refusal, @Nullable RecordedResponse recorded) {
        if (recorded != null) {
            return ClaimResult.ANSWERED;
        }
        return everSent || refusal == null || refusal.outcome() != Refusal.Outcome.NOT_RUN
                ? ClaimResult.UNKNOWN
                : ClaimResult.NOT_RUN;
    }

    /**
     * Decides again about the request if another configuration has come into force since its head was read, because its
     * body may have ended seconds later. The team's token and the claim for it are kept.
     *
     * @return the refusal, or null if the request may run
     */
    private Target.@Nullable NoTarget decideAgain() {
        HostPolicy.Request admitted = request;
        ActiveConfiguration active = controllers.board().activeConfiguration();
        if (active.version() == admitted.configurationVersion()) {
            return null;
        }
        RequestHead head = admitted.head();
        AccessDecision decision =
                active.access().decide(head.method(), head.path(), head.header(HostPolicy.AUTHORIZATION));
        if (decision instanceof AccessDecision.Refused denied) {
            return new Target.NoTarget(denied.refusal(), denied.detail(), NO_RETRY_AFTER);
        }
        Route route = null;
        if (decision instanceof AccessDecision.AllowedForTeam access
                && access.team().equals(admitted.team())) {
            route = access.route();
        } else if (decision instanceof AccessDecision.AllowedAnonymously access
                && admitted.team().isEmpty()) {
            route = access.route();
        }
        if (route == null || route.trafficClass() != trafficClass()) {
            // The token, the claim or the permission to run twice is that of the former configuration.
            return new Target.NoTarget(
                    Refusal.SERVICE_OVERLOADED, "the configuration has changed; send the request again", 0);
        }
        admitted.logEntry().setRoute(route.name());
        request = admitted.routedBy(active, route);
        return null;
    }

    private void acquireSlot(long nowNanos, CompletableFuture<Target> result) {
        long millisLeft = (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
        if (millisLeft <= 0) {
            result.complete(new Target.NoTarget(Refusal.SERVICE_OVERLOADED, "no server in time", 1_000));
            return;
        }
        SlotRequest slotRequest = new SlotRequest(
                request.route().service(),
                request.route().name(),
                request.team(),
                trafficClass(),
                millisLeft,
                fingerprint,
                failedServers);
        controllers
                .slots()
                .acquire(slotRequest, nowNanos, (slotResult, now) -> handleSlotResult(slotResult, now, result));
    }

    private void handleSlotResult(SlotClient.SlotResult slotResult, long nowNanos, CompletableFuture<Target> result) {
        SlotClient.Slot granted = slotResult.slot();
        if (granted == null) {
            result.complete(refusalTarget(slotResult.answer()));
            return;
        }
        Target target = validatedTarget(granted, nowNanos);
        if (target instanceof Target.ServerTarget) {
            slot = granted;
        } else {
            controllers.slots().release(granted, AttemptOutcome.ABANDONED, 0, nowNanos);
        }
        result.complete(target);
    }

    /** Checks the key, the freshness and the server again, because the request may have waited in a queue. */
    private Target validatedTarget(SlotClient.Slot granted, long nowNanos) {
        if (!controllers.board().isFresh(nowNanos)) {
            return new Target.NoTarget(Refusal.HOST_ISOLATED, "this host has lost contact with the fleet", 2_000);
        }
        ActiveConfiguration active = controllers.board().activeConfiguration();
        Key key = active.configuration().keys().get(request.keyId());
        if (!request.route().open()
                && (key == null || key.withdrawn() || !key.team().equals(request.team()))) {
            return new Target.NoTarget(Refusal.KEY_WITHDRAWN, "the key was withdrawn", -1);
        }
        Service service = active.configuration().services().get(request.route().service());
        Server server = service == null ? null : serverOf(service, granted.server());
        if (service == null || server == null || server.leaving()) {
            return new Target.NoTarget(Refusal.SERVICE_OVERLOADED, "the server has left the service", 100);
        }
        return new Target.ServerTarget(server.name(), server.address(), connectionLimit(service));
    }

    /**
     * Divides the server's connection limit evenly among the members; the share of a dead member is freed when it is
     * removed.
     */
    private int connectionLimit(Service service) {
        Roster roster = controllers.board().roster();
        int hosts = roster == null ? 1 : Math.max(1, roster.members().size());
        return Math.max(1, service.connectionsPerServer() / hosts);
    }

    private static @Nullable Server serverOf(Service service, String name) {
        return service.servers().stream()
                .filter(server -> server.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    private static Target refusalTarget(SlotAnswer answer) {
        return answer.verdict() == SlotVerdict.QUARANTINED
                ? new Target.NoTarget(
                        Refusal.REQUEST_QUARANTINED,
                        "this request made servers fail and is refused for a time",
                        answer.retryAfterMillis())
                : new Target.NoTarget(
                        Refusal.SERVICE_OVERLOADED, "no server can answer in time", answer.retryAfterMillis());
    }
}
