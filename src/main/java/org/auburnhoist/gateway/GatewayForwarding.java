package org.auburnhoist.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.dispatch.RetryState;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.message.SchedulingParameters;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.core.routing.TrafficRoute;
import org.auburnhoist.core.routing.TrafficRouter;
import org.auburnhoist.core.routing.TrafficSplitter;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.host.Fingerprint;
import org.auburnhoist.proxy.Forwarding;
import org.auburnhoist.proxy.RequestHead;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one admitted request: acquires a slot for each attempt, reports each outcome, and logs the request at the
 * end.
 */
final class GatewayForwarding implements Forwarding {
    private static final long MILLI = 1_000_000L;
    /** No further attempt is made with less time left than this, which is too short for a response. */
    private static final long MIN_ATTEMPT_NANOS = 20 * MILLI;
    /** Extra time for a response body that is in transfer at the deadline. */
    private static final long ANSWER_GRACE_NANOS = 50 * MILLI;

    private static final long NO_RETRY_AFTER = -1;
    /** Retry delay for callers while it is unknown when a server will be free. */
    private static final long RETRY_MILLIS = 300;
    /** Bounds the size of a slot request; a host has few connections to large services. */
    private static final int MAX_CONNECTED_SERVERS = 24;
    /** Slots limit the connections in use; this bounds a host's own share of a server's connections. */
    private static final int MAX_CONNECTIONS_PER_SERVER = 16;

    /** A dispatcher that grants more closed servers than this in succession has no better ones. */
    private static final int MAX_CLOSED_GRANTS = 3;

    private volatile Request request;
    private final GatewayComponents components;
    private final TrafficSplitter splitter;
    private final RetryState retryState;
    private volatile long fingerprint;
    private SlotBroker.@Nullable Slot slot;
    /** Start time of the slot's server, as stated in its registration. */
    private volatile long slotServerStartedMillis;

    private volatile long slotGrantedNanos;

    private ServerNotice notice = ServerNotice.NONE;
    private boolean requestCounted;
    /** Servers that were granted although they accept no more requests. */
    private final List<String> closedServers = new ArrayList<>();

    /**
     * An admitted request.
     *
     * @param head the request
     * @param metadata its metadata, with the caller's key
     * @param router the router of the configuration that allows it
     * @param route its route
     * @param service the service selected among the route's services
     * @param team the team of the caller, empty if none
     * @param priority its scheduling priority
     * @param deadlineNanos when the final response is due
     * @param logEntry its access log entry
     * @param startNanos when it was read
     */
    record Request(
            RequestHead head,
            PlatformBinding.RequestMetadata metadata,
            TrafficRouter router,
            TrafficRoute route,
            String service,
            String team,
            int priority,
            long deadlineNanos,
            GatewayAccessLogEntry logEntry,
            long startNanos) {
        /** The same request as another configuration routes it. */
        Request routedBy(TrafficRouter newRouter, TrafficRoute newRoute, String newService) {
            return new Request(
                    head,
                    metadata,
                    newRouter,
                    newRoute,
                    newService,
                    team,
                    priority,
                    deadlineNanos,
                    logEntry,
                    startNanos);
        }
    }

    /**
     * Creates the forwarding of a request of which no server has been asked yet.
     *
     * @param splitter selects the service again if the route has moved; confined to the control thread
     */
    GatewayForwarding(Request request, GatewayComponents components, TrafficSplitter splitter) {
        this.request = request;
        this.components = components;
        this.splitter = splitter;
        this.retryState = new RetryState(
                request.route().maximumAttempts(),
                request.route().trafficClass().isIdempotent());
        this.fingerprint = Fingerprint.of(request.head(), request.head().path(), request.team());
    }

    @Override
    public TrafficClass trafficClass() {
        return request.route().trafficClass();
    }

    @Override
    public String team() {
        return request.team();
    }

    @Override
    public void requestBodyBuffered(byte[] body) {
        fingerprint = Fingerprint.withBody(fingerprint, body);
    }

    @Override
    public long deadlineNanos() {
        return request.deadlineNanos();
    }

    @Override
    public long responseDeadlineNanos() {
        return request.deadlineNanos() + ANSWER_GRACE_NANOS;
    }

    /** A recently used connection is as reliable as a new one; older ones are closed. */
    @Override
    public boolean needsNewConnection() {
        return false;
    }

    @Override
    public boolean retriesOnNewConnection(boolean sent) {
        return !sent;
    }

    @Override
    public CompletionStage<Target> nextTarget(long nowNanos) {
        CompletableFuture<Target> result = new CompletableFuture<>();
        CompletableFuture<Boolean> accepted = components.control().compute(now -> {
            acquireSlot(now, result);
            return true;
        });
        accepted.whenComplete((done, failure) -> {
            if (failure != null) {
                result.complete(
                        new Target.NoTarget(Refusal.SERVICE_OVERLOADED, "this host is overloaded", RETRY_MILLIS));
            }
        });
        return result;
    }

    private void acquireSlot(long nowNanos, CompletableFuture<Target> result) {
        long remainingMillis = (request.deadlineNanos() - nowNanos) / MILLI;
        if (remainingMillis <= 0) {
            result.complete(new Target.NoTarget(Refusal.SERVICE_OVERLOADED, "no server in time", RETRY_MILLIS));
            return;
        }
        if (!requestCounted) {
            Target.NoTarget denied = decideAgain();
            if (denied != null) {
                result.complete(denied);
                return;
            }
            requestCounted = true;
            components.slots().requestStarted(request.service(), nowNanos);
        }
        List<UpstreamServer> registered = registeredServers();
        List<String> closed = components.notices().closedAmong(registered, nowNanos);
        Target.NoTarget refusal = refusalWithoutServer(registered, closed, nowNanos);
        if (refusal != null) {
            result.complete(refusal);
            return;
        }
        List<String> excluded = Stream.of(retryState.excludedServers(), closed, closedServers)
                .flatMap(List::stream)
                .distinct()
                .toList();
        List<String> allowed = without(retryState.allowedServers(), closed);
        long elapsedMillis = (nowNanos - request.startNanos()) / MILLI;
        long targetMillis = request.route().targetLatencyMillis();
        SchedulingParameters scheduling = new SchedulingParameters(
                request.priority(),
                targetMillis == 0 ? 0 : Math.max(1, targetMillis - elapsedMillis),
                retryState.nextAttemptNumber(),
                components.settings().dataCentre(),
                connectedServers(),
                allowed,
                components.notices().limitsAmong(registered, nowNanos));
        SlotRequest slotRequest = new SlotRequest(
                request.service(),
                request.route().name(),
                request.team(),
                trafficClass(),
                remainingMillis,
                fingerprint,
                excluded,
                scheduling);
        components
                .slots()
                .acquire(slotRequest, nowNanos, (slotResult, now) -> handleSlotResult(slotResult, now, result));
    }

    /**
     * Decides again about the request if another configuration has come into force since its head was read, because its
     * body may have ended seconds later. The team's token for it is kept.
     *
     * @return the refusal, or null if the request may run
     */
    private Target.@Nullable NoTarget decideAgain() {
        Request admitted = request;
        TrafficRouter router = components.cache().router();
        if (router == admitted.router()) {
            return null;
        }
        GatewayAccess access = GatewayAccess.decide(
                router, admitted.metadata(), admitted.head().path());
        if (access instanceof GatewayAccess.Denied denied) {
            return new Target.NoTarget(denied.refusal(), denied.detail(), NO_RETRY_AFTER);
        }
        GatewayAccess.Allowed allowed = (GatewayAccess.Allowed) access;
        TrafficRoute route = allowed.route();
        if (!allowed.teamName().equals(admitted.team()) || route.trafficClass() != trafficClass()) {
            // The token, or the permission to run twice, is that of the former configuration.
            return new Target.NoTarget(
                    Refusal.SERVICE_OVERLOADED, "the configuration has changed; send the request again", 0);
        }
        boolean stays = route.services().stream()
                .anyMatch(part -> part.weight() > 0 && part.service().equals(admitted.service()));
        String service = stays ? admitted.service() : splitter.nextService(route);
        request = admitted.routedBy(router, route, service);
        admitted.logEntry()
                .routed(
                        admitted.team(),
                        route.name(),
                        service,
                        router.configuration().version());
        return null;
    }

    private List<UpstreamServer> registeredServers() {
        return components.cache().serversOf(request.service());
    }

    /** Refuses a request at once, instead of letting it wait in a queue, if none of the known servers may get it. */
    private Target.@Nullable NoTarget refusalWithoutServer(
            List<UpstreamServer> registered, List<String> closed, long nowNanos) {
        if (closed.isEmpty()) {
            return null;
        }
        List<UpstreamServer> staying =
                registered.stream().filter(server -> !server.leaving()).toList();
        List<String> allowed = retryState.allowedServers();
        List<String> available = allowed.isEmpty()
                ? without(
                        without(staying.stream().map(UpstreamServer::id).toList(), closed),
                        retryState.excludedServers())
                : without(allowed, closed);
        if (!available.isEmpty()) {
            return null;
        }
        return new Target.NoTarget(
                Refusal.SERVICE_OVERLOADED,
                "the servers have asked for no requests now",
                components.notices().millisUntilOpen(staying, nowNanos, RETRY_MILLIS));
    }

    private static List<String> without(List<String> servers, List<String> removed) {
        return servers.stream().filter(server -> !removed.contains(server)).toList();
    }

    private List<String> connectedServers() {
        Set<String> idle = components.idleUpstreams().get();
        return registeredServers().stream()
                .filter(server -> idle.contains(server.address()))
                .map(UpstreamServer::id)
                .limit(MAX_CONNECTED_SERVERS)
                .toList();
    }

    private void handleSlotResult(SlotBroker.SlotResult slotResult, long nowNanos, CompletableFuture<Target> result) {
        SlotBroker.Slot granted = slotResult.slot();
        if (granted == null) {
            boolean quarantined = slotResult.answer().verdict() == SlotVerdict.QUARANTINED;
            result.complete(new Target.NoTarget(
                    quarantined ? Refusal.REQUEST_QUARANTINED : Refusal.SERVICE_OVERLOADED,
                    quarantined ? "this request made servers fail" : "no server can answer in time",
                    slotResult.answer().retryAfterMillis()));
            return;
        }
        UpstreamServer known = components.cache().server(granted.server());
        long startedMillis = known == null ? ServerNotices.UNKNOWN_START : known.startedMillis();
        boolean closed = !components.slots().isUsable(granted)
                || components.notices().isClosed(granted.server(), startedMillis, nowNanos);
        if (closed) {
            releaseAndRetry(granted, nowNanos, result);
        } else {
            slot = granted;
            slotServerStartedMillis = startedMillis;
            slotGrantedNanos = nowNanos;
            result.complete(new Target.ServerTarget(granted.server(), granted.address(), MAX_CONNECTIONS_PER_SERVER));
        }
    }

    /** Returns the slot of a server that has closed since its dispatcher selected it, and requests another slot. */
    private void releaseAndRetry(SlotBroker.Slot granted, long nowNanos, CompletableFuture<Target> result) {
        components.slots().release(granted, AttemptOutcome.WITHHELD, 0, nowNanos);
        closedServers.add(granted.server());
        if (closedServers.size() <= MAX_CLOSED_GRANTS) {
            acquireSlot(nowNanos, result);
        } else {
            result.complete(new Target.NoTarget(Refusal.SERVICE_OVERLOADED, "the servers are leaving", RETRY_MILLIS));
        }
    }

    @Override
    public void serverNotice(ServerNotice received, long nowNanos) {
        SlotBroker.Slot currentSlot = slot;
        if (currentSlot != null) {
            notice = received;
            ServerNotices notices = components.notices();
            if (received.leaving() || received.pauseMillis() > 0) {
                notices.record(currentSlot.server(), slotServerStartedMillis, received, nowNanos);
            }
            notices.recordLimit(
                    currentSlot.server(), slotServerStartedMillis, received.limit(), slotGrantedNanos, nowNanos);
        }
    }

    @Override
    public boolean maySend(String server, long nowNanos) {
        return !components.notices().isClosed(server, slotServerStartedMillis, nowNanos);
    }

    @Override
    public boolean attemptEnded(AttemptOutcome outcome, boolean sent, long latencyMicros, long nowNanos) {
        SlotBroker.Slot currentSlot = slot;
        if (currentSlot == null) {
            return false;
        }
        slot = null;
        ServerNotice lastNotice = notice;
        notice = ServerNotice.NONE;
        retryState.attemptEnded(currentSlot.server(), outcome, sent);
        request.logEntry().addAttempt(currentSlot.server(), outcome, sent, latencyMicros);
        components.metrics().attemptEnded(outcome);
        components
                .control()
                .execute(now -> components.slots().release(currentSlot, outcome, latencyMicros, lastNotice, now));
        boolean failed = outcome != AttemptOutcome.SUCCESS && outcome != AttemptOutcome.ABANDONED;
        return failed && retryState.mayRetry() && request.deadlineNanos() - nowNanos > MIN_ATTEMPT_NANOS;
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
        components.metrics().requestFinished(trafficClass(), request.team(), status, refusal, micros);
    }
}
