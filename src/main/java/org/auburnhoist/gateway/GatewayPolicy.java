package org.auburnhoist.gateway;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.routing.TeamPolicy;
import org.auburnhoist.core.routing.TrafficRoute;
import org.auburnhoist.core.routing.TrafficRouter;
import org.auburnhoist.core.routing.TrafficSplitter;
import org.auburnhoist.proxy.Admission;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.RequestPolicy;
import org.jspecify.annotations.Nullable;

/** Decides about callers' requests: route and key on the traffic thread, the team's token on the control thread. */
final class GatewayPolicy implements RequestPolicy {
    private static final long MILLI = 1_000_000L;
    private static final long NO_RETRY_AFTER = -1;
    /** A control thread with a full queue needs about this time to work it off. */
    private static final long OVERLOADED_RETRY_MILLIS = 500;
    /** Used when neither the caller nor the route limits the time. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    private final PlatformBinding binding;
    private final GatewayComponents components;
    private final TrafficSplitter split;

    GatewayPolicy(PlatformBinding binding, GatewayComponents parts, long seed) {
        this.binding = binding;
        this.components = parts;
        this.split = new TrafficSplitter(new SplittableRandom(seed));
    }

    @Override
    public CompletionStage<Admission> admit(RequestHead head, long nowNanos) {
        PlatformBinding.RequestMetadata terms = binding.requestMetadata(head);
        GatewayAccessLogEntry record = new GatewayAccessLogEntry(head.requestId(), terms.attemptId(), head.path());
        TrafficRouter router = components.cache().router();
        if (terms.ambiguous()) {
            return refused(record, Refusal.MALFORMED_REQUEST, "a deciding header came more than once", NO_RETRY_AFTER);
        }
        TrafficRoute route = router.route(terms.hostName(), head.path());
        if (route == null) {
            return refused(record, Refusal.ROUTE_UNKNOWN, "no route matches", NO_RETRY_AFTER);
        }
        TeamPolicy team = null;
        if (!route.open() && router.configuration().hasTeams()) {
            String key = terms.key();
            if (key == null) {
                return refused(record, Refusal.KEY_MISSING, "the route needs a key", NO_RETRY_AFTER);
            }
            String name = router.teamOfKey(key);
            team = name == null ? null : router.team(name);
            if (team == null) {
                return refused(record, Refusal.KEY_UNKNOWN, "no team holds this key", NO_RETRY_AFTER);
            }
        }
        return acquireToken(head, terms, route, team, record, nowNanos);
    }

    private CompletionStage<Admission> acquireToken(
            RequestHead head,
            PlatformBinding.RequestMetadata terms,
            TrafficRoute route,
            @Nullable TeamPolicy team,
            GatewayAccessLogEntry record,
            long nowNanos) {
        long limit = route.timeoutMillis() > 0 ? route.timeoutMillis() : DEFAULT_TIMEOUT_MILLIS;
        long millis = terms.remainingMillis() >= 0 ? Math.min(limit, terms.remainingMillis()) : limit;
        long deadline = nowNanos + millis * MILLI;
        CompletableFuture<Admission> result = new CompletableFuture<>();
        CompletableFuture<Boolean> accepted = components.control().compute(now -> {
            if (team == null || !team.isRateLimited()) {
                result.complete(forward(head, route, team, deadline, record, nowNanos));
            } else {
                components.quotas().acquire(team, now, (quota, later) -> {
                    if (quota.granted()) {
                        result.complete(forward(head, route, team, deadline, record, nowNanos));
                    } else {
                        result.complete(quotaRefusal(quota, record));
                    }
                });
            }
            return true;
        });
        accepted.whenComplete((done, failure) -> {
            if (failure != null) {
                result.complete(refusal(
                        record, Refusal.SERVICE_OVERLOADED, "this host is overloaded", OVERLOADED_RETRY_MILLIS));
            }
        });
        return result;
    }

    private Admission quotaRefusal(QuotaBroker.QuotaResult quota, GatewayAccessLogEntry record) {
        return quota.overLimit()
                ? refusal(record, Refusal.RATE_EXCEEDED, "the team's rate is used up", quota.retryAfterMillis())
                : refusal(
                        record,
                        Refusal.SERVICE_OVERLOADED,
                        "the team's rate cannot be looked up",
                        quota.retryAfterMillis());
    }

    /** Called on the control thread, which alone uses the split. */
    private Admission forward(
            RequestHead head,
            TrafficRoute route,
            @Nullable TeamPolicy team,
            long deadlineNanos,
            GatewayAccessLogEntry record,
            long startNanos) {
        String service = split.nextService(route);
        String teamName = team == null ? "" : team.name();
        int priority = team != null && team.priority() >= 0 ? team.priority() : route.priority();
        record.routed(
                teamName,
                route.name(),
                service,
                components.cache().router().configuration().version());
        return new Admission.Forwarded(new GatewayForwarding(
                new GatewayForwarding.Request(
                        head, route, service, teamName, priority, deadlineNanos, record, startNanos),
                components));
    }

    private CompletionStage<Admission> refused(
            GatewayAccessLogEntry record, Refusal refusal, String detail, long retryAfterMillis) {
        return CompletableFuture.completedFuture(refusal(record, refusal, detail, retryAfterMillis));
    }

    private Admission refusal(GatewayAccessLogEntry record, Refusal refusal, String detail, long retryAfterMillis) {
        record.logRefusal(refusal, detail, retryAfterMillis);
        components.metrics().requestRefused(refusal, "");
        return new Admission.Refused(refusal, detail, retryAfterMillis, List.of());
    }
}
