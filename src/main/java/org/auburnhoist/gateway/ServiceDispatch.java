package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.dispatch.FloorStatus;
import org.auburnhoist.core.dispatch.LimitChange;
import org.auburnhoist.core.dispatch.PriorityDispatcher;
import org.auburnhoist.core.dispatch.ServerSilence;
import org.auburnhoist.core.dispatch.SlotDecision;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.support.Event;

/** A dispatcher and the requests that wait for its decisions. */
final class ServiceDispatch {
    /** Minimum interval between log entries on the state of a service. */
    private static final long LOG_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final String service;
    private final PriorityDispatcher dispatcher;
    private final Map<Long, ReplyHandler> replies = new HashMap<>();
    private long lastLoggedNanos;
    private double limitShare = 1;

    ServiceDispatch(String service, PriorityDispatcher dispatcher, long nowNanos) {
        this.service = service;
        this.dispatcher = dispatcher;
        this.lastLoggedNanos = nowNanos;
    }

    /** Logs a summary of the decisions, at most once a second while requests arrive. */
    private void logState(long nowNanos) {
        if (nowNanos - lastLoggedNanos < LOG_INTERVAL_NANOS) {
            return;
        }
        lastLoggedNanos = nowNanos;
        FloorStatus floor = dispatcher.floorStatus(nowNanos);
        Event.named("dispatch-state")
                .with("service", service)
                .with("servers_needed", floor.needed())
                .with("servers_in_use", floor.inUse())
                .with("unserved_percent", Math.round(100 * floor.unservedShare()))
                .with("waiting_requests", dispatcher.waitingCount())
                .with("limited_servers", dispatcher.limitedServers())
                .with("limit_share", limitShare)
                .logRoutine();
    }

    /** Receives the answer to a request and the current time. */
    interface ReplyHandler extends BiConsumer<SlotAnswer, Long> {}

    /** Requests a slot; {@code token} is unique among the waiting requests. */
    void request(SlotRequest request, HostId requester, long token, long nowNanos, ReplyHandler reply) {
        replies.put(token, reply);
        deliver(dispatcher.request(request, requester, token, nowNanos), nowNanos);
        logLimitChanges();
        logState(nowNanos);
    }

    /** Sets which share of the servers' limits may be granted, from 0 to 1. */
    void updateLimitShare(double share) {
        limitShare = share;
        dispatcher.updateLimitShare(share);
    }

    void updateServers(List<UpstreamServer> registered, long nowNanos) {
        deliver(dispatcher.updateServers(registered, nowNanos), nowNanos);
        logSilences();
    }

    void tick(long nowNanos) {
        deliver(dispatcher.tick(nowNanos), nowNanos);
        logSilences();
    }

    boolean isActive() {
        return !replies.isEmpty();
    }

    void release(SlotRelease release, HostId requester, long nowNanos) {
        String server = dispatcher.serverOf(release.grantId());
        deliver(dispatcher.release(release, requester, nowNanos), nowNanos);
        logLimitChanges();
        logSilences();
        boolean failed = release.outcome() != AttemptOutcome.SUCCESS
                && release.outcome() != AttemptOutcome.ABANDONED
                && release.outcome() != AttemptOutcome.WITHHELD;
        if (failed && !server.isEmpty()) {
            Event.named("server-failed")
                    .with("service", release.service())
                    .with("server", server)
                    .with("outcome", release.outcome())
                    .with("reported_by", requester.name())
                    .with("avoided_millis", dispatcher.avoidedMillis(server, nowNanos))
                    .with("waiting_requests", dispatcher.waitingCount())
                    .log();
        }
    }

    private void logSilences() {
        for (ServerSilence silence : dispatcher.drainSilences()) {
            Event.named("server-without-answer")
                    .with("service", service)
                    .with("server", silence.server())
                    .with("counted_as_crash", silence.silent())
                    .with("reason", silence.reason())
                    .with("requests", silence.requests())
                    .log();
        }
    }

    private void logLimitChanges() {
        for (LimitChange change : dispatcher.drainLimitChanges()) {
            Event.named("dispatch-limit-changed")
                    .with("service", service)
                    .with("server", change.server())
                    .with("requests_per_second", change.limit())
                    .with("previous", change.previous())
                    .with("granted_under_previous", change.granted())
                    .with("limit_share", limitShare)
                    .log();
        }
    }

    private void deliver(List<SlotDecision> decisions, long nowNanos) {
        for (SlotDecision decision : decisions) {
            ReplyHandler reply = replies.remove(decision.replyToken());
            if (reply != null) {
                reply.accept(decision.answer(), nowNanos);
            }
        }
    }
}
