package org.auburnhoist.host;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.blackboard.ActiveConfiguration;
import org.auburnhoist.core.blackboard.BlackboardSnapshot;
import org.auburnhoist.core.configuration.AccessDecision;
import org.auburnhoist.core.configuration.Route;
import org.auburnhoist.core.limit.TokenDecision;
import org.auburnhoist.core.message.ClaimAnswer;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.operation.OperationId;
import org.auburnhoist.proxy.Admission;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.RequestPolicy;
import org.jspecify.annotations.Nullable;

/**
 * Admits or refuses callers' requests: checks route, key and team on the traffic thread, then acquires the token and
 * the operation claim on the control thread. {@link HostForwarding} acquires the slots there.
 */
final class HostPolicy implements RequestPolicy {
    static final String AUTHORIZATION = "Authorization";
    static final String OPERATION_ID = "Operation-Id";

    private static final long NO_RETRY_AFTER = -1;
    private static final long STALE_RETRY_MILLIS = 2_000;
    private static final long RUNNING_RETRY_MILLIS = 1_000;

    private final Supplier<BlackboardSnapshot> snapshot;
    private final ControlThread control;
    private final HostControllers controllers;
    private final LocalEndpoints endpoints;
    private final HostMetrics metrics;

    HostPolicy(
            Supplier<BlackboardSnapshot> view,
            ControlThread control,
            HostControllers controllers,
            LocalEndpoints endpoints,
            HostMetrics metrics) {
        this.snapshot = view;
        this.control = control;
        this.controllers = controllers;
        this.endpoints = endpoints;
        this.metrics = metrics;
    }

    /**
     * A request with its route and, unless the route is open, its authenticated team and key.
     *
     * @param configurationVersion version of the configuration that allows it
     */
    record Request(
            RequestHead head,
            String path,
            Route route,
            String team,
            String keyId,
            long configurationVersion,
            AccessLogEntry logEntry,
            long startNanos) {
        /** The same request with its route in another configuration. */
        Request routedBy(ActiveConfiguration newer, Route newRoute) {
            return new Request(head, path, newRoute, team, keyId, newer.version(), logEntry, startNanos);
        }
    }

    @Override
    public CompletionStage<Admission> admit(RequestHead head, long nowNanos) {
        if (LocalEndpoints.isLocal(head.path())) {
            return endpoints.handle(head, nowNanos);
        }
        AccessLogEntry record = new AccessLogEntry(head.requestId(), head.method(), head.path());
        BlackboardSnapshot current = snapshot.get();
        if (!current.isFresh(nowNanos)) {
            return completedRefusal(
                    record,
                    Refusal.HOST_ISOLATED,
                    "this host has no configuration that is fresh; use another address",
                    STALE_RETRY_MILLIS);
        }
        if (head.isRepeated(AUTHORIZATION) || head.isRepeated(OPERATION_ID)) {
            return completedRefusal(
                    record, Refusal.MALFORMED_REQUEST, "a deciding header came more than once", NO_RETRY_AFTER);
        }
        ActiveConfiguration active = current.activeConfiguration();
        long version = active.version();
        AccessDecision decision = active.access().decide(head.method(), head.path(), head.header(AUTHORIZATION));
        if (decision instanceof AccessDecision.AllowedForTeam access) {
            record.setCaller(access.team(), access.keyId());
            record.setRoute(access.route().name());
            return checkOperationId(new Request(
                    head, access.path(), access.route(), access.team(), access.keyId(), version, record, nowNanos));
        }
        if (decision instanceof AccessDecision.AllowedAnonymously access) {
            record.setRoute(access.route().name());
            return checkOperationId(
                    new Request(head, access.path(), access.route(), "", "", version, record, nowNanos));
        }
        if (decision instanceof AccessDecision.Refused denied) {
            return completedRefusal(record, denied.refusal(), denied.detail(), NO_RETRY_AFTER);
        }
        return completedRefusal(record, Refusal.ROUTE_UNKNOWN, "no such endpoint", NO_RETRY_AFTER);
    }

    private CompletionStage<Admission> checkOperationId(Request request) {
        CompletableFuture<Admission> result = new CompletableFuture<>();
        OperationId operation = null;
        String header = request.head().header(OPERATION_ID);
        if (request.route().trafficClass() == TrafficClass.BOOKING && header != null) {
            operation = OperationId.parse(header).getOrNull();
            if (operation == null) {
                return completedRefusal(
                        request.logEntry(),
                        Refusal.OPERATION_ID_INVALID,
                        "Operation-Id: expected an id issued by this fleet",
                        NO_RETRY_AFTER);
            }
            request.logEntry().setOperation(header);
        }
        OperationId parsed = operation;
        CompletableFuture<Boolean> accepted = control.compute(now -> {
            if (request.route().trafficClass() == TrafficClass.BOOKING && parsed == null) {
                result.complete(operationIdRequired(request, now));
            } else {
                acquireToken(request, parsed, now, result);
            }
            return true;
        });
        accepted.whenComplete((done, failure) -> {
            if (failure != null) {
                result.complete(refusal(
                        request.logEntry(), Refusal.SERVICE_OVERLOADED, "this host is overloaded", STALE_RETRY_MILLIS));
            }
        });
        return result;
    }

    private void acquireToken(
            Request request, @Nullable OperationId operation, long nowNanos, CompletableFuture<Admission> result) {
        if (request.route().open()) {
            result.complete(forward(request, null, 0));
            return;
        }
        controllers.limits().acquire(request.team(), nowNanos, decision -> {
            if (decision instanceof TokenDecision.Refuse refuse) {
                result.complete(refusal(
                        request.logEntry(),
                        Refusal.RATE_EXCEEDED,
                        "the team's rate is used up",
                        refuse.retryAfterMillis()));
            } else if (operation == null) {
                result.complete(forward(request, null, 0));
            } else {
                claimOperation(request, operation, result);
            }
        });
    }

    private void claimOperation(Request request, OperationId operation, CompletableFuture<Admission> result) {
        long attempt = controllers.operations().newAttempt();
        long fingerprint = Fingerprint.of(request.head(), request.path(), request.team());
        ClaimRequest claim = new ClaimRequest(operation.encode(), request.team(), fingerprint, attempt);
        controllers.operations().claim(operation, claim, System.nanoTime(), (answer, now) -> {
            if (answer == null) {
                // The claim may have been granted and its answer lost. Without this report, the claim would block the
                // operation id.
                ClaimOutcome notRun = new ClaimOutcome(operation.encode(), attempt, ClaimResult.NOT_RUN, null);
                controllers.operations().report(operation, notRun, now);
                result.complete(operationUnknown(request));
            } else {
                result.complete(claimAdmission(request, operation, attempt, answer));
            }
        });
    }

    private Admission claimAdmission(Request request, OperationId operation, long attempt, ClaimAnswer answer) {
        switch (answer.verdict()) {
            case GRANTED:
                return forward(request, operation, attempt);
            case RUNNING:
                return refusal(
                        request.logEntry(),
                        Refusal.OPERATION_RUNNING,
                        "the operation is running",
                        RUNNING_RETRY_MILLIS);
            case DONE:
                return replayAdmission(request, answer.recorded());
            case MISMATCH:
                return refusal(
                        request.logEntry(),
                        Refusal.OPERATION_MISMATCH,
                        "the operation id was used for a different request",
                        NO_RETRY_AFTER);
            case UNKNOWN:
            case EXPIRED:
            case NOT_HOME:
            default:
                return operationUnknown(request);
        }
    }

    private Admission replayAdmission(Request request, @Nullable RecordedResponse recorded) {
        if (recorded == null || !recorded.bodyKept()) {
            String status = recorded == null ? "an answer" : "status " + recorded.status();
            return refusal(
                    request.logEntry(),
                    Refusal.OPERATION_ANSWER_NOT_KEPT,
                    "the operation ran and ended with " + status + "; its answer was not kept",
                    NO_RETRY_AFTER);
        }
        request.logEntry().logCompletion(recorded.status(), null, true, 0);
        return new Admission.Answered(recorded);
    }

    private Admission operationUnknown(Request request) {
        return refusal(
                request.logEntry(),
                Refusal.OPERATION_UNKNOWN,
                "this attempt was not run; whether an earlier one ran is not known",
                NO_RETRY_AFTER);
    }

    private Admission operationIdRequired(Request request, long nowNanos) {
        OperationId issued = controllers.operations().issue(nowNanos);
        request.logEntry().logRefusal(Refusal.OPERATION_ID_REQUIRED, "the request has no Operation-Id");
        metrics.requestRefused(Refusal.OPERATION_ID_REQUIRED, request.team());
        List<Map.Entry<String, String>> headers =
                issued == null ? List.of() : List.of(Map.entry(OPERATION_ID, issued.encode()));
        return new Admission.Refused(
                Refusal.OPERATION_ID_REQUIRED,
                "send the request again with the Operation-Id header of this answer",
                NO_RETRY_AFTER,
                headers);
    }

    private Admission forward(Request request, @Nullable OperationId operation, long attempt) {
        Duration timeout = request.route().timeout();
        long deadline = request.startNanos() + timeout.toNanos();
        return new Admission.Forwarded(
                new HostForwarding(request, operation, attempt, deadline, control, controllers, metrics));
    }

    private CompletionStage<Admission> completedRefusal(
            AccessLogEntry record, Refusal refusal, String detail, long retryAfterMillis) {
        return CompletableFuture.completedFuture(refusal(record, refusal, detail, retryAfterMillis));
    }

    private Admission refusal(AccessLogEntry record, Refusal refusal, String detail, long retryAfterMillis) {
        record.logRefusal(refusal, detail);
        metrics.requestRefused(refusal, record.team());
        return new Admission.Refused(refusal, detail, retryAfterMillis, List.of());
    }

    /** Returns the refusal of requests that arrive before the host has finished its start. */
    static Admission startingRefusal() {
        return new Admission.Refused(Refusal.HOST_ISOLATED, "this host is starting", STALE_RETRY_MILLIS, List.of());
    }
}
