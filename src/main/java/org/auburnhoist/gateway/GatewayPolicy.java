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

/**
 * Admits or refuses callers' requests: checks route and key on the traffic thread, then acquires the team's token on
 * the control thread.
 */
final class GatewayPolicy implements RequestPolicy {
    private static final long MILLI = 1_000_000L;
    private static final long NO_RETRY_AFTER = -1;
    /** A control thread with a full queue needs about this time to process it. */
    private static final long OVERLOADED_RETRY_MILLIS = 500;
    /** Used when neither the caller nor the route limits the time. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    private final PlatformBinding binding;
    private final GatewayComponents components;
    private final TrafficSplitter splitter;

    GatewayPolicy(PlatformBinding binding, GatewayComponents components, long seed) {
        this.binding = binding;
        this.components = components;
        this.splitter = new TrafficSplitter(new SplittableRandom(seed));
    }

    @Override
    public CompletionStage<Admission> admit(RequestHead head, long nowNanos) {
        PlatformBinding.RequestMetadata metadata = binding.requestMetadata(head);
        GatewayAccessLogEntry logEntry = new GatewayAccessLogEntry(head.requestId(), metadata.attemptId(), head.path());
        TrafficRouter router = components.cache().router();
        if (metadata.ambiguous()) {
            return refused(
                    logEntry, Refusal.MALFORMED_REQUEST, "a deciding header came more than once", NO_RETRY_AFTER);
        }
        GatewayAccess access = GatewayAccess.decide(router, metadata, head.path());
        if (access instanceof GatewayAccess.Allowed allowed) {
            return acquireToken(head, metadata, router, allowed, logEntry, nowNanos);
        }
        GatewayAccess.Denied denied = (GatewayAccess.Denied) access;
        return refused(logEntry, denied.refusal(), denied.detail(), NO_RETRY_AFTER);
    }

    private CompletionStage<Admission> acquireToken(
            RequestHead head,
            PlatformBinding.RequestMetadata metadata,
            TrafficRouter router,
            GatewayAccess.Allowed access,
            GatewayAccessLogEntry logEntry,
            long nowNanos) {
        TrafficRoute route = access.route();
        TeamPolicy team = access.team();
        long limit = route.timeoutMillis() > 0 ? route.timeoutMillis() : DEFAULT_TIMEOUT_MILLIS;
        long timeoutMillis = metadata.remainingMillis() >= 0 ? Math.min(limit, metadata.remainingMillis()) : limit;
        long deadline = nowNanos + timeoutMillis * MILLI;
        CompletableFuture<Admission> result = new CompletableFuture<>();
        CompletableFuture<Boolean> accepted = components.control().compute(now -> {
            if (team == null || !team.isRateLimited()) {
                result.complete(forward(head, metadata, router, access, deadline, logEntry, nowNanos));
            } else {
                components.quotas().acquire(team, now, (quota, later) -> {
                    if (quota.granted()) {
                        result.complete(forward(head, metadata, router, access, deadline, logEntry, nowNanos));
                    } else {
                        result.complete(quotaRefusal(quota, logEntry));
                    }
                });
            }
            return true;
        });
        accepted.whenComplete((done, failure) -> {
            if (failure != null) {
                result.complete(refusal(
                        logEntry, Refusal.SERVICE_OVERLOADED, "this host is overloaded", OVERLOADED_RETRY_MILLIS));
            }
        });
        return result;
    }

    private Admission quotaRefusal(QuotaBroker.QuotaResult quota, GatewayAccessLogEntry logEntry) {
        return quota.overLimit()
                ? refusal(logEntry, Refusal.RATE_EXCEEDED, "the team's rate is used up", quota.retryAfterMillis())
                : refusal(
                        logEntry,
                        Refusal.SERVICE_OVERLOADED,
                        "the team's rate cannot be looked up",
                        quota.retryAfterMillis());
    }

    /** Called on the control thread, to which the splitter is confined. */
    private Admission forward(
            RequestHead head,
            PlatformBinding.RequestMetadata metadata,
            TrafficRouter router,
            GatewayAccess.Allowed access,
            long deadlineNanos,
            GatewayAccessLogEntry logEntry,
            long startNanos) {
        TrafficRoute route = access.route();
        TeamPolicy team = access.team();
        String service = splitter.nextService(route);
        int priority = team != null && team.priority() >= 0 ? team.priority() : route.priority();
        logEntry.routed(
                access.teamName(), route.name(), service, router.configuration().version());
        return new Admission.Forwarded(new GatewayForwarding(
                new GatewayForwarding.Request(
                        head,
                        metadata,
                        router,
                        route,
                        service,
                        access.teamName(),
                        priority,
                        deadlineNanos,
                        logEntry,
                        startNanos),
                components,
                splitter));
    }

    private CompletionStage<Admission> refused(
            GatewayAccessLogEntry logEntry, Refusal refusal, String detail, long retryAfterMillis) {
        return CompletableFuture.completedFuture(refusal(logEntry, refusal, detail, retryAfterMillis));
    }

    private Admission refusal(GatewayAccessLogEntry logEntry, Refusal refusal, String detail, long retryAfterMillis) {
        logEntry.logRefusal(refusal, detail, retryAfterMillis);
        components.metrics().requestRefused(refusal, "");
        return new Admission.Refused(refusal, detail, retryAfterMillis, List.of());
    }
}
