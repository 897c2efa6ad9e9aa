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
 * Grants the slots of one service's registered servers to requests in order of rank.
 *
 * <p>{@link ServerChooser} chooses the servers. Requests that cannot be answered in time are refused at once. Not
 * thread-safe.
 */
public final class PriorityDispatcher {
    private static final long MILLI = 1_000_000L;
    private static final long LEAST_RETRY_AFTER_MILLIS = 100;
    private static final long LONGEST_RETRY_AFTER_MILLIS = 10_000;
    /** How often grants that were never released are looked for while requests come. */
    private static final long TIDY_NANOS = 100 * MILLI;
    /** A grant that was never released ends this long after its request's deadline. */
    private static final long GRANT_MARGIN_NANOS = 1_000 * MILLI;

    private final RankedQueue queue = new RankedQueue();
    private final Quarantine quarantine = new Quarantine();
    private final GrantTable grants;
    private final ServiceRate rate;
    private final ServedShare served = new ServedShare();
    private final ServerChooser chooser;
    private long tidiedAt;

    /** Creates a dispatcher without servers. */
    public PriorityDispatcher(PriorityDispatcherSettings settings, RandomGenerator random) {
        this.grants = new GrantTable(random.nextLong());
        this.rate = new ServiceRate(settings.initialHoldTime());
        this.chooser = new ServerChooser(settings.floor(), grants, rate, served, random);
    }

    /** Takes over the registered servers of the service. */
    public List<SlotDecision> updateServers(List<UpstreamServer> registered, long nowNanos) {
        chooser.servers(registered, nowNanos);
        List<SlotDecision> decisions = new ArrayList<>();
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    /**
     * Asks for a slot.
     *
     * @param request the request
     * @param asking the host that sent it
     * @param replyToken identifies the request in its decision; unique among the waiting ones
     * @param nowNanos the present time
     */
    public List<SlotDecision> request(SlotRequest request, HostId asking, long replyToken, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        if (nowNanos - tidiedAt > TIDY_NANOS) {
            decisions.addAll(tick(nowNanos));
        }
        long deadline = nowNanos + Math.max(0, request.deadlineMillis()) * MILLI;
        WaitingRequest waiting = new WaitingRequest(request, asking, replyToken, deadline);
        long quarantined = quarantine.remainingNanos(request.fingerprint(), nowNanos);
        if (quarantined > 0) {
            decisions.add(refuse(replyToken, SlotVerdict.QUARANTINED, quarantined / MILLI + 1));
            return decisions;
        }
        double excess = secondsBeyondDeadline(waiting, nowNanos);
        if (excess > 0 && chooseServer(waiting, nowNanos) == null) {
            refuseOverloaded(waiting, excess, decisions, nowNanos);
            return decisions;
        }
        long target = request.scheduling().targetLatencyMillis();
        queue.add(new RankedQueue.Waiting(waiting, target > 0 ? nowNanos + target * MILLI : deadline));
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    /** Returns a slot; ignored unless {@code asking} holds the grant. */
    public List<SlotDecision> release(SlotRelease release, HostId asking, long nowNanos) {
        List<SlotDecision> decisions = new ArrayList<>();
        Grant grant = grants.release(release.grantId(), asking);
        if (grant == null) {
            return decisions;
        }
        observe(grant, release, nowNanos);
        chooser.noticed(grant.server(), asking, release.notice(), nowNanos);
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    private void observe(Grant grant, SlotRelease release, long nowNanos) {
        AttemptOutcome outcome = release.outcome();
        if (outcome == AttemptOutcome.CONNECTION_LOST) {
            quarantine.connectionLost(grant, grants.onServer(grant.server()), nowNanos);
        } else if (outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.SERVER_ERROR) {
            quarantine.survived(grant.fingerprint(), nowNanos);
        }
        Observation observation = new Observation(
                grant.server(),
                grant.trafficClass(),
                grant.host(),
                grant.fingerprint(),
                outcome,
                release.latencyMicros());
        chooser.observe(observation, grant.grantedNanos(), nowNanos);
        boolean success = outcome == AttemptOutcome.SUCCESS;
        if (success) {
            rate.released(grant, release.latencyMicros(), nowNanos);
        }
        if (outcome != AttemptOutcome.ABANDONED && outcome != AttemptOutcome.WITHHELD) {
            served.ended(success, nowNanos);
        }
    }

    /** The server of a grant in use, or an empty text. */
    public String serverOf(long grantId) {
        return grants.serverOf(grantId);
    }

    /** How many milliseconds a server is avoided from now on, 0 if it is not. */
    public long avoidedMillis(String server, long nowNanos) {
        return chooser.avoidedNanos(server, nowNanos) / MILLI;
    }

    /** How many sound servers are in use against the number that the floor needs. */
    public FloorStatus floorStatus(long nowNanos) {
        return chooser.floorUse(nowNanos);
    }

    /** Number of requests that wait for a slot. */
    public int waitingCount() {
        return queue.size();
    }

    /** Lets time pass; to be called about every 100 ms while requests wait. */
    public List<SlotDecision> tick(long nowNanos) {
        tidiedAt = nowNanos;
        List<SlotDecision> decisions = new ArrayList<>();
        quarantine.forget(nowNanos);
        grants.removeIf(grant -> nowNanos - grant.expiresNanos() >= 0);
        queue.removeIf(waiting -> cannotBeAnswered(waiting.request(), nowNanos))
                .forEach(waiting -> refuseOverloaded(waiting.request(), 0, decisions, nowNanos));
        grantWaiting(decisions, nowNanos);
        return decisions;
    }

    private void grantWaiting(List<SlotDecision> decisions, long nowNanos) {
        while (!queue.isEmpty() && chooser.hasRoom()) {
            ServerChoice choice = new ServerChoice();
            FruitlessSearches fruitless = chooser.search(nowNanos);
            RankedQueue.Waiting next = queue.poll(
                    rate.holdSeconds(),
                    nowNanos,
                    waiting -> findServer(waiting.request(), choice, fruitless, nowNanos));
            UpstreamServer server = choice.server;
            if (next == null || server == null) {
                return;
            }
            decisions.add(grant(next.request(), server, nowNanos));
        }
    }

    private boolean findServer(
            WaitingRequest waiting, ServerChoice choice, FruitlessSearches fruitless, long nowNanos) {
        if (fruitless.include(waiting)) {
            return false;
        }
        choice.server = chooseServer(waiting, nowNanos);
        if (choice.server == null
                && quarantine.diedWith(waiting.request().fingerprint()).isEmpty()) {
            fruitless.add(waiting);
        }
        return choice.server != null;
    }

    /** The server found while the queue looks for a request that can be granted. */
    private static final class ServerChoice {
        @Nullable
        UpstreamServer server;
    }

    private SlotDecision grant(WaitingRequest waiting, UpstreamServer server, long nowNanos) {
        chooser.granted(server, nowNanos);
        Grant grant = grants.add(waiting, server.id(), nowNanos, waiting.deadlineNanos() + GRANT_MARGIN_NANOS);
        return new SlotDecision(
                waiting.replyToken(),
                new SlotAnswer(SlotVerdict.GRANTED, server.id(), server.address(), grant.id(), 0));
    }

    private @Nullable UpstreamServer chooseServer(WaitingRequest waiting, long nowNanos) {
        long fingerprint = waiting.request().fingerprint();
        Set<String> suspectedOn = quarantine.diedWith(fingerprint);
        // A request that may have crashed a server is tried on one other server at a time.
        boolean beingTried = !suspectedOn.isEmpty() && grants.usedBy(fingerprint) > 0;
        return beingTried ? null : chooser.choose(waiting, suspectedOn, nowNanos);
    }

    /** By how many seconds the answer would come after the deadline at the present rate; not positive if in time. */
    private double secondsBeyondDeadline(WaitingRequest waiting, long nowNanos) {
        double slots = Math.max(1, chooser.usableSlots(nowNanos));
        double hold = rate.holdSeconds(waiting.request().trafficClass());
        int ahead = queue.ahead(waiting.request().scheduling().priority());
        double wait = ahead * hold / slots;
        return wait + hold - (waiting.deadlineNanos() - nowNanos) / 1e9;
    }

    private boolean cannotBeAnswered(WaitingRequest waiting, long nowNanos) {
        double hold = rate.holdSeconds(waiting.request().trafficClass());
        return !chooser.mayServe(waiting.request()) || (waiting.deadlineNanos() - nowNanos) / 1e9 < hold;
    }

    private void refuseOverloaded(WaitingRequest waiting, double excess, List<SlotDecision> decisions, long nowNanos) {
        served.ended(false, nowNanos);
        double seconds = Math.max(excess, rate.holdSeconds(waiting.request().trafficClass()));
        long millis = (long) Math.ceil(seconds * 1000);
        decisions.add(refuse(
                waiting.replyToken(),
                SlotVerdict.OVERLOADED,
                Math.min(LONGEST_RETRY_AFTER_MILLIS, Math.max(LEAST_RETRY_AFTER_MILLIS, millis))));
    }

    private static SlotDecision refuse(long replyToken, SlotVerdict verdict, long retryAfterMillis) {
        return new SlotDecision(replyToken, new SlotAnswer(verdict, "", 0, retryAfterMillis));
    }
}
