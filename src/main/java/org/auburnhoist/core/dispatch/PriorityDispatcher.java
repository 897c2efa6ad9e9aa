package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.core.routing.UpstreamServer;
import org.jspecify.annotations.Nullable;

/**
 * Grants the slots of one service's registered servers to requests in order of priority.
 *
 * <p>{@link ServerSelector} selects the servers. Requests that cannot be answered in time are refused at once. Not
 * thread-safe.
 */
public final class PriorityDispatcher {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 10_000;
    /** Interval at which expired grants are removed while requests arrive. */
    private static final long CLEANUP_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;
    /** Time after its request's deadline at which a grant expires if it has not been released. */
    private static final long GRANT_MARGIN_NANOS = 1_000 * NANOS_PER_MILLI;
    /** Fraction of the target latency within which a response must be expected, since an estimate may be too low. */
    private static final double TARGET_FRACTION = 0.9;
    /** Fraction of the time until its deadline that a request may wait after its target, during a retry for example. */
    private static final double MIN_WAIT_FRACTION = 0.25;
    /** Retry delay while this dispatcher has no share of the limits; the caller may find another host. */
    private static final double NO_SHARE_RETRY_SECONDS = 0.3;

    /** Outcomes in which a server answered, so that it is not silent. */
    private static final Set<AttemptOutcome> ANSWERS =
            Set.of(AttemptOutcome.SUCCESS, AttemptOutcome.SERVER_ERROR, AttemptOutcome.SHED, AttemptOutcome.REJECTED);
    /** Bounds the memory if nothing reads what was found out. */
    private static final int MAX_SILENCES_KEPT = 100;

    private final PriorityRequestQueue queue = new PriorityRequestQueue();
    private final Quarantine quarantine;
    private final SilentServers silentServers = new SilentServers();
    private final List<ServerSilence> silences = new ArrayList<>();
    private final GrantTable grants;
    private final ServiceTimeEstimator serviceTimes;
    private final UnservedShare unservedShare = new UnservedShare();
    private final ServerSelector serverSelector;
    private final ServerLimits limits = new ServerLimits();
    private long lastCleanupNanos;

    /** Creates a dispatcher without servers that knows of no crash. */
    public PriorityDispatcher(PriorityDispatcherSettings settings, RandomGenerator random) {
        this(settings, new Quarantine(), random);
    }

    /** Creates a dispatcher without servers that records crashes in the quarantine of its host. */
    public PriorityDispatcher(PriorityDispatcherSettings settings, Quarantine quarantine, RandomGenerator random) {
        this.quarantine = quarantine;
        this.grants = new GrantTable(random.nextLong());
        this.serviceTimes = new ServiceTimeEstimator(settings.initialHoldTime());
        this.serverSelector = new ServerSelector(settings.floor(), grants, serviceTimes, unservedShare, limits, random);
    }

    /** Applies a new list of the registered servers of the service. */
    public List<SlotDecision> updateServers(List<UpstreamServer> registered, long nowNanos) {
        serverSelector.updateServers(registered, nowNanos);
        limits.updateServers(registered);
        List<SlotDecision> decisions = new ArrayList<>();
        silentServers.updateServers(registered, nowNanos).forEach(finding -> recordFinding(finding, nowNanos));
        refuseQuarantined(decisions, nowNanos);
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    /**
     * Sets which share of the servers' limits this dispatcher may grant.
     *
     * @param share from 0 to 1
     */
    public void updateLimitShare(double share) {
        limits.updateShare(share);
    }

    /** Number of servers that have named a limit. */
    public int limitedServers() {
        return limits.limitedCount();
    }

    /**
     * Requests a slot.
     *
     * @param request the request
     * @param requestingHost the host that sent the request
     * @param replyToken identifies the request in its decision; unique among the waiting requests
     * @param nowNanos the current time
     */
    public List<SlotDecision> request(SlotRequest request, HostId requestingHost, long replyToken, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        if (nowNanos - lastCleanupNanos > CLEANUP_INTERVAL_NANOS) {
            decisions.addAll(tick(nowNanos));
        }
        long deadline = nowNanos + Math.max(0, request.deadlineMillis()) * NANOS_PER_MILLI;
        WaitingRequest waiting = new WaitingRequest(request, requestingHost, replyToken, deadline);
        request.scheduling().serverLimits().forEach(report -> limits.recordReport(report, nowNanos));
        long quarantined = quarantinedNanos(waiting, nowNanos);
        if (quarantined > 0) {
            decisions.add(refuse(replyToken, SlotVerdict.QUARANTINED, quarantined / NANOS_PER_MILLI + 1));
            return decisions;
        }
        double excess = secondsBeyondDeadline(waiting, nowNanos);
        if (excess > 0 && selectServer(waiting, nowNanos) == null) {
            refuseOverloaded(waiting, excess, decisions, nowNanos);
            return decisions;
        }
        long target = request.scheduling().targetLatencyMillis();
        queue.add(new PriorityRequestQueue.Entry(waiting, target > 0 ? nowNanos + target * NANOS_PER_MILLI : deadline));
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    /** Releases a slot; ignored unless {@code requestingHost} holds the grant. */
    public List<SlotDecision> release(SlotRelease release, HostId requestingHost, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        Grant grant = grants.release(release.grantId(), requestingHost);
        if (grant == null) {
            return decisions;
        }
        observe(grant, release, nowNanos);
        if (release.outcome() == AttemptOutcome.CONNECTION_LOST || release.outcome() == AttemptOutcome.TIMEOUT) {
            refuseQuarantined(decisions, nowNanos);
        }
        serverSelector.recordNotice(grant.server(), requestingHost, release.notice(), nowNanos);
        limits.recordAnswer(grant.server(), release.notice().limit(), grant.grantedNanos(), nowNanos);
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    private void observe(Grant grant, SlotRelease release, long nowNanos) {
        AttemptOutcome outcome = release.outcome();
        if (outcome == AttemptOutcome.CONNECTION_LOST) {
            quarantine.connectionLost(grant, grants.onServer(grant.server()), nowNanos);
        } else if (outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.SERVER_ERROR) {
            quarantine.completed(grant.fingerprint(), nowNanos);
        }
        if (outcome == AttemptOutcome.TIMEOUT) {
            recordFinding(silentServers.timedOut(grant, grants.onServer(grant.server()), nowNanos), nowNanos);
        } else if (ANSWERS.contains(outcome)) {
            recordFinding(silentServers.answered(grant.server(), nowNanos), nowNanos);
        }
        Observation observation = new Observation(
                grant.server(),
                grant.trafficClass(),
                grant.host(),
                grant.fingerprint(),
                outcome,
                release.latencyMicros());
        serverSelector.observe(observation, grant.grantedNanos(), nowNanos);
        boolean success = outcome == AttemptOutcome.SUCCESS;
        if (success) {
            serviceTimes.record(grant, release.latencyMicros(), nowNanos);
        }
        if (outcome != AttemptOutcome.ABANDONED && outcome != AttemptOutcome.WITHHELD) {
            unservedShare.record(success, nowNanos);
        }
    }

    private void recordFinding(SilentServers.@Nullable Finding finding, long nowNanos) {
        if (finding == null) {
            return;
        }
        if (finding.silent()) {
            quarantine.fellSilent(finding.grants(), nowNanos);
        }
        if (silences.size() < MAX_SILENCES_KEPT) {
            silences.add(new ServerSilence(
                    finding.server(),
                    finding.silent(),
                    finding.reason(),
                    finding.grants().size()));
        }
    }

    /** Returns what was found out about servers that did not answer since the last call. */
    public List<ServerSilence> drainSilences() {
        List<ServerSilence> drained = List.copyOf(silences);
        silences.clear();
        return drained;
    }

    /** The server of a grant in use, or an empty string. */
    public String serverOf(long grantId) {
        return grants.serverOf(grantId);
    }

    /** Remaining time in milliseconds for which a server is avoided, 0 if it is not avoided. */
    public long avoidedMillis(String server, long nowNanos) {
        return serverSelector.avoidedNanos(server, nowNanos) / NANOS_PER_MILLI;
    }

    /** Number of undisturbed servers in use and the number that the floor requires. */
    public FloorStatus floorStatus(long nowNanos) {
        return serverSelector.floorStatus(nowNanos);
    }

    /** Returns the changes of servers' limits since the last call. */
    public List<LimitChange> drainLimitChanges() {
        return limits.drainChanges();
    }

    /** Number of requests waiting for a slot. */
    public int waitingCount() {
        return queue.size();
    }

    /** Performs periodic work; to be called about every 100 ms while requests wait. */
    public List<SlotDecision> tick(long nowNanos) {
        lastCleanupNanos = nowNanos;
        List<SlotDecision> decisions = new ArrayList<>();
        quarantine.removeExpired(nowNanos);
        silentServers.removeExpired(nowNanos).forEach(finding -> recordFinding(finding, nowNanos));
        grants.removeIf(grant -> nowNanos - grant.expiresNanos() >= 0);
        refuseQuarantined(decisions, nowNanos);
        queue.removeIf(waiting -> cannotBeAnswered(waiting.request(), nowNanos))
                .forEach(waiting -> refuseOverloaded(waiting.request(), 0, decisions, nowNanos));
        grantWaiting(decisions, nowNanos);
        refuseOvertaken(decisions, nowNanos);
        return decisions;
    }

    /** Refuses waiting requests that have been quarantined since they arrived. */
    private void refuseQuarantined(List<SlotDecision> decisions, long nowNanos) {
        if (quarantine.size() == 0) {
            return;
        }
        queue.removeIf(waiting -> quarantinedNanos(waiting.request(), nowNanos) > 0)
                .forEach(waiting -> decisions.add(refuse(
                        waiting.request().replyToken(),
                        SlotVerdict.QUARANTINED,
                        quarantinedNanos(waiting.request(), nowNanos) / NANOS_PER_MILLI + 1)));
    }

    private long quarantinedNanos(WaitingRequest waiting, long nowNanos) {
        return quarantine.remainingNanos(waiting.request().fingerprint(), nowNanos);
    }

    /** Refuses requests that have missed their target while limits are used up by those that have not. */
    private void refuseOvertaken(List<SlotDecision> decisions, long nowNanos) {
        if (limits.limitedCount() > 0 && queue.hasTimelyRequest(serviceTimes.holdSeconds(), nowNanos)) {
            queue.removeIf(waiting -> waiting.hasMissedTarget(serviceTimes.holdSeconds(), nowNanos))
                    .forEach(waiting -> refuseOverloaded(waiting.request(), 0, decisions, nowNanos));
        }
    }

    private void grantWaiting(List<SlotDecision> decisions, long nowNanos) {
        while (!queue.isEmpty() && serverSelector.hasFreeSlot(nowNanos)) {
            SelectedServer selected = new SelectedServer();
            NegativeSearchCache failedSearches = serverSelector.newSearchCache(nowNanos);
            PriorityRequestQueue.Entry next = queue.poll(
                    serviceTimes.holdSeconds(),
                    nowNanos,
                    waiting -> findServer(waiting.request(), selected, failedSearches, nowNanos));
            UpstreamServer server = selected.server;
            if (next == null || server == null) {
                return;
            }
            decisions.add(grant(next.request(), server, nowNanos));
        }
    }

    private boolean findServer(
            WaitingRequest waiting, SelectedServer selected, NegativeSearchCache failedSearches, long nowNanos) {
        if (failedSearches.covers(waiting)) {
            return false;
        }
        selected.server = selectServer(waiting, nowNanos);
        if (selected.server == null
                && quarantine.crashedServers(waiting.request().fingerprint()).isEmpty()) {
            failedSearches.add(waiting);
        }
        return selected.server != null;
    }

    /** Holds the server that was selected while the queue is searched for a request that can be granted. */
    private static final class SelectedServer {
        @Nullable
        UpstreamServer server;
    }

    private SlotDecision grant(WaitingRequest waiting, UpstreamServer server, long nowNanos) {
        serverSelector.recordGrant(server, nowNanos);
        limits.recordGrant(server.id(), nowNanos);
        Grant grant = grants.add(waiting, server.id(), nowNanos, waiting.deadlineNanos() + GRANT_MARGIN_NANOS);
        return new SlotDecision(
                waiting.replyToken(),
                new SlotAnswer(SlotVerdict.GRANTED, server.id(), server.address(), grant.id(), 0));
    }

    private @Nullable UpstreamServer selectServer(WaitingRequest waiting, long nowNanos) {
        long fingerprint = waiting.request().fingerprint();
        Set<String> suspectedOn = quarantine.crashedServers(fingerprint);
        // A request that may have crashed a server runs on one other server at a time.
        boolean alreadyRunning = !suspectedOn.isEmpty() && grants.usedBy(fingerprint) > 0;
        return alreadyRunning ? null : serverSelector.select(waiting, suspectedOn, nowNanos);
    }

    /**
     * Estimated time in seconds by which the response would be too late; not positive if it would be in time.
     *
     * <p>Requests that may still be answered within their target latency are served first. While servers limit their
     * requests, a shortage lasts, and a request that misses its target would wait behind all later ones in vain.
     */
    private double secondsBeyondDeadline(WaitingRequest waiting, long nowNanos) {
        double hold = serviceTimes.holdSeconds(waiting.request().trafficClass());
        double slots = serverSelector.usableSlots(hold, nowNanos);
        int ahead = queue.countAhead(waiting.request().scheduling().priority());
        double wait = ahead * hold / slots + serverSelector.secondsUntilAllowed(nowNanos);
        double remaining = (waiting.deadlineNanos() - nowNanos) / 1e9;
        double target = waiting.request().scheduling().targetLatencyMillis() / 1e3;
        if (limits.limitedCount() > 0 && target > 0 && ahead > 0) {
            remaining = Math.min(remaining, Math.max(TARGET_FRACTION * target, MIN_WAIT_FRACTION * remaining));
        }
        return wait + hold - remaining;
    }

    private boolean cannotBeAnswered(WaitingRequest waiting, long nowNanos) {
        double hold = serviceTimes.holdSeconds(waiting.request().trafficClass());
        return !serverSelector.mayBeServed(waiting.request()) || (waiting.deadlineNanos() - nowNanos) / 1e9 < hold;
    }

    private void refuseOverloaded(WaitingRequest waiting, double excess, List<SlotDecision> decisions, long nowNanos) {
        unservedShare.record(false, nowNanos);
        double seconds = Math.max(
                Double.isInfinite(excess) ? NO_SHARE_RETRY_SECONDS : excess,
                serviceTimes.holdSeconds(waiting.request().trafficClass()));
        long millis = (long) Math.ceil(seconds * 1000);
        decisions.add(refuse(
                waiting.replyToken(),
                SlotVerdict.OVERLOADED,
                Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, millis))));
    }

    private static SlotDecision refuse(long replyToken, SlotVerdict verdict, long retryAfterMillis) {
        return new SlotDecision(replyToken, new SlotAnswer(verdict, "", 0, retryAfterMillis));
    }
}
