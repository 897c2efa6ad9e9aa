package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * <p>Requests go first to servers that have just proved to work, so that servers in a spell of failures are met seldom.
 * The floor of servers is kept in use at all times, because requests may fail at any moment for reasons not seen here.
 * Further attempts draw on one budget of the service. Not thread-safe.
 */
public final class PriorityDispatcher {
    private static final long MILLI = 1_000_000L;
    private static final long LEAST_RETRY_AFTER_MILLIS = 100;
    private static final long LONGEST_RETRY_AFTER_MILLIS = 10_000;
    /** How often grants that were never released are looked for while requests come. */
    private static final long TIDY_NANOS = 100 * MILLI;
    /** A grant that was never released ends this long after its request's deadline. */
    private static final long GRANT_MARGIN_NANOS = 1_000 * MILLI;
    /** A server that has announced itself gets its first request after this time, before the others. */
    private static final long INTRODUCTION_NANOS = 1_500 * MILLI;
    /** Servers count as in use for this long after a request; the floor is judged over 2 s. */
    private static final long IN_USE_NANOS = 1_850 * MILLI;
    /** Share of servers kept in use beyond the floor while requests are spread. */
    private static final double FLOOR_MARGIN = 0.02;
    /** While too few servers are in use, one that failed is avoided no longer; it counts as sound again after 2 s. */
    private static final long LONGEST_AVOIDANCE_NANOS = 4_000 * MILLI;
    /** The same while many requests fail, when the floor is judged. */
    private static final long AVOIDANCE_WHILE_FAILING_NANOS = 1_800 * MILLI;
    /** Unserved share from which requests count as failing; the floor is judged from a tenth on. */
    private static final double FAILING_SHARE = 0.085;
    /** Times the usual time after which a request in flight is taken as stuck. */
    private static final double OVERDUE_FACTOR = 4;
    /** A server that took up a request well counts as proven for this long; spells come every ten seconds or so. */
    private static final long PROVEN_NANOS = 1_500 * MILLI;
    /** Part of a server's slots that is filled before others are used; full servers slow down and lose more at once. */
    private static final double FILLED_SHARE = 0.6;
    /** Part of a request's target that it may wait for a proven server. */
    private static final double WAITING_SHARE = 0.12;
    /** Part of its target after which a request goes to servers that have just failed rather than wait on. */
    private static final double LAST_RESORT_SHARE = 0.4;
    /** A server that fails for a time answers its failures within this time. */
    private static final long QUICK_FAILURE_NANOS = 60 * MILLI;

    private final PriorityDispatcherSettings settings;
    private final RankedQueue queue = new RankedQueue();
    private final SpellJudge judge = new SpellJudge();
    private final Quarantine quarantine = new Quarantine();
    private final GrantTable grants;
    private final ServiceRate rate;
    private final RetryBudget budget;
    private final ServedShare served = new ServedShare();
    private final Map<String, ServerUse> servers = new LinkedHashMap<>();
    private final RandomGenerator random;
    private long tidiedAt;

    private static final class ServerUse {
        UpstreamServer server;
        final long firstSeenNanos;
        final long coldUntilNanos;
        long lastGrantNanos;
        long provenNanos;
        boolean everGranted;
        boolean everProven;

        ServerUse(UpstreamServer server, long nowNanos) {
            this.server = server;
            this.firstSeenNanos = nowNanos;
            this.coldUntilNanos = nowNanos + server.warmUpMillis() * MILLI;
        }
    }

    private record Candidate(ServerRank rank, int distance, int used, long silentNanos) {}

    /** Creates a dispatcher without servers. */
    public PriorityDispatcher(PriorityDispatcherSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.grants = new GrantTable(random.nextLong());
        this.rate = new ServiceRate(settings.firstHoldTime());
        this.budget = new RetryBudget(settings.retryShare(), settings.leastRetries());
    }

    /** Takes over the registered servers of the service. */
    public List<SlotDecision> servers(List<UpstreamServer> registered, long nowNanos) {
        Map<String, ServerUse> next = new LinkedHashMap<>();
        for (UpstreamServer server : registered) {
            ServerUse known = servers.get(server.id());
            if (known == null || known.server.bornMillis() != server.bornMillis()) {
                known = new ServerUse(server, nowNanos);
            }
            known.server = server;
            next.put(server.id(), known);
        }
        servers.clear();
        servers.putAll(next);
        judge.retain(servers.keySet());
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
        if (request.terms().attempt() <= 1) {
            budget.requestStarted(nowNanos);
        } else if (!budget.tryFurtherAttempt(nowNanos)) {
            decisions.add(refuse(replyToken, SlotVerdict.OVERLOADED, LEAST_RETRY_AFTER_MILLIS));
            return decisions;
        }
        double excess = secondsBeyondDeadline(waiting, nowNanos);
        if (excess > 0 && chooseServer(waiting, nowNanos) == null) {
            refuseOverloaded(waiting, excess, decisions, nowNanos);
            return decisions;
        }
        long target = request.terms().targetMillis();
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
        judge.observe(observation, grant.grantedNanos(), rate.latencySeconds(grant.trafficClass()), nowNanos);
        boolean success = outcome == AttemptOutcome.SUCCESS;
        if (success) {
            rate.released(grant, release.latencyMicros(), nowNanos);
        }
        if (outcome != AttemptOutcome.ABANDONED) {
            served.ended(success, nowNanos);
        }
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
        while (!queue.isEmpty()) {
            ServerChoice choice = new ServerChoice();
            RankedQueue.Waiting next = queue.poll(rate.holdSeconds(), nowNanos, waiting -> {
                choice.server = chooseServer(waiting.request(), nowNanos);
                return choice.server != null;
            });
            ServerUse server = choice.server;
            if (next == null || server == null) {
                return;
            }
            decisions.add(grant(next.request(), server, nowNanos));
        }
    }

    /** The server found while the queue looks for a request that can be granted. */
    private static final class ServerChoice {
        @Nullable
        ServerUse server;
    }

    private SlotDecision grant(WaitingRequest waiting, ServerUse use, long nowNanos) {
        long silent = silentNanos(use, nowNanos);
        if (silent != Long.MAX_VALUE) {
            use.everProven = true;
            use.provenNanos = nowNanos - silent;
        }
        use.lastGrantNanos = nowNanos;
        use.everGranted = true;
        UpstreamServer server = use.server;
        Grant grant = grants.add(waiting, server.id(), nowNanos, waiting.deadlineNanos() + GRANT_MARGIN_NANOS);
        return new SlotDecision(
                waiting.replyToken(),
                new SlotAnswer(SlotVerdict.GRANTED, server.id(), server.address(), grant.id(), 0));
    }

    private @Nullable ServerUse chooseServer(WaitingRequest waiting, long nowNanos) {
        SlotRequest request = waiting.request();
        Set<String> suspectedOn = quarantine.diedWith(request.fingerprint());
        if (!suspectedOn.isEmpty() && grants.usedBy(request.fingerprint()) > 0) {
            return null;
        }
        boolean spread = isSpreading(nowNanos);
        boolean pressed = waitedSeconds(waiting, nowNanos) >= LAST_RESORT_SHARE * targetSeconds(request);
        ServerUse best = null;
        Candidate bestCandidate = null;
        for (ServerUse use : servers.values()) {
            UpstreamServer server = use.server;
            int used = grants.used(server.id());
            if (server.leaving()
                    || used >= server.slots()
                    || request.excludedServers().contains(server.id())
                    || suspectedOn.contains(server.id())) {
                continue;
            }
            Candidate candidate = candidate(waiting, use, spread, pressed, nowNanos);
            if (candidate != null && (bestCandidate == null || isBetter(candidate, bestCandidate))) {
                best = use;
                bestCandidate = candidate;
            }
        }
        boolean wait =
                bestCandidate != null && bestCandidate.rank().isWorthWaitingAt() && waitsForProven(waiting, nowNanos);
        return wait ? null : best;
    }

    /**
     * Whether a slot on a proven server will be free so soon that a request that cannot be repeated had better wait.
     * Answers are worth the same within their target, so a small part of it may be spent on waiting.
     */
    private boolean waitsForProven(WaitingRequest waiting, long nowNanos) {
        SlotRequest request = waiting.request();
        if (request.trafficClass().isIdempotent()) {
            return false;
        }
        double allowedSeconds = WAITING_SHARE * targetSeconds(request);
        double waitedSeconds = waitedSeconds(waiting, nowNanos);
        int provenBusy = 0;
        for (ServerUse use : servers.values()) {
            if (!use.server.leaving() && silentNanos(use, nowNanos) < PROVEN_NANOS) {
                provenBusy += grants.used(use.server.id());
            }
        }
        return provenBusy > 0 && waitedSeconds + rate.holdSeconds(request.trafficClass()) / provenBusy < allowedSeconds;
    }

    private static double targetSeconds(SlotRequest request) {
        long target = request.terms().targetMillis();
        return (target > 0 ? Math.min(target, request.deadlineMillis()) : request.deadlineMillis()) / 1e3;
    }

    private static double waitedSeconds(WaitingRequest waiting, long nowNanos) {
        return (nowNanos - waiting.deadlineNanos()) / 1e9 + waiting.request().deadlineMillis() / 1e3;
    }

    /** A server's suitability for a request, or null if it must not get it. */
    private @Nullable Candidate candidate(
            WaitingRequest waiting, ServerUse use, boolean spread, boolean pressed, long nowNanos) {
        ServerRank rank = rank(waiting, use, spread, pressed, nowNanos);
        if (rank == null) {
            return null;
        }
        return new Candidate(
                rank, sameDataCentre(waiting, use) ? 0 : 1, grants.used(use.server.id()), silentNanos(use, nowNanos));
    }

    private @Nullable ServerRank rank(
            WaitingRequest waiting, ServerUse use, boolean spread, boolean pressed, long nowNanos) {
        String id = use.server.id();
        boolean idle = grants.used(id) == 0;
        if (judge.avoidsPath(waiting.asking(), id, nowNanos)) {
            return pressed ? ServerRank.DOUBTFUL_PATH : null;
        }
        SpellJudge.Standing standing = judge.standing(id, longestAvoidance(spread, nowNanos), nowNanos);
        if (standing == SpellJudge.Standing.AVOIDED) {
            return pressed && idle ? ServerRank.AVOIDED : null;
        }
        if (standing == SpellJudge.Standing.ON_TRIAL && !idle) {
            return null;
        }
        boolean neededForFloor = spread && nowNanos - use.lastGrantNanos > IN_USE_NANOS;
        if (neededForFloor || isIntroductionDue(use, nowNanos)) {
            return ServerRank.DUE;
        }
        if (standing == SpellJudge.Standing.ON_TRIAL) {
            return ServerRank.ON_TRIAL;
        }
        if (standing == SpellJudge.Standing.SLOW || isOverdue(id, nowNanos)) {
            return ServerRank.SLOW;
        }
        if (use.coldUntilNanos - nowNanos > 0) {
            return ServerRank.COLD;
        }
        boolean hasRoom = grants.used(id) < Math.ceil(FILLED_SHARE * use.server.slots());
        return hasRoom && silentNanos(use, nowNanos) < PROVEN_NANOS ? ServerRank.PROVEN : ServerRank.UNPROVEN;
    }

    private long longestAvoidance(boolean spread, long nowNanos) {
        if (!spread) {
            return Long.MAX_VALUE;
        }
        boolean failing = served.unservedShare(nowNanos) >= FAILING_SHARE;
        return failing ? AVOIDANCE_WHILE_FAILING_NANOS : LONGEST_AVOIDANCE_NANOS;
    }

    private boolean isBetter(Candidate candidate, Candidate best) {
        if (candidate.rank() != best.rank()) {
            return candidate.rank().compareTo(best.rank()) < 0;
        }
        if (candidate.distance() != best.distance()) {
            return candidate.distance() < best.distance();
        }
        // Filling servers one after the other keeps the number of those in use, and so of spells met, small.
        if (candidate.rank() == ServerRank.PROVEN && candidate.used() != best.used()) {
            return candidate.used() > best.used();
        }
        if (candidate.silentNanos() != best.silentNanos()) {
            return candidate.silentNanos() < best.silentNanos();
        }
        return random.nextBoolean();
    }

    /**
     * Time since a request is known to have been taken up well. Servers in a spell fail requests at once, so a request
     * that has not failed for a moment shows that its server was well when it came.
     */
    private long silentNanos(ServerUse use, long nowNanos) {
        if (use.everGranted
                && nowNanos - use.lastGrantNanos > QUICK_FAILURE_NANOS
                && !judge.hasFailedSince(use.server.id(), use.lastGrantNanos)) {
            return nowNanos - use.lastGrantNanos;
        }
        return use.everProven ? nowNanos - use.provenNanos : Long.MAX_VALUE;
    }

    private static boolean sameDataCentre(WaitingRequest waiting, ServerUse use) {
        return use.server.dataCentre().equals(waiting.request().terms().dataCentre());
    }

    private static boolean isIntroductionDue(ServerUse use, long nowNanos) {
        return !use.everGranted && nowNanos - use.firstSeenNanos > INTRODUCTION_NANOS;
    }

    private boolean isOverdue(String server, long nowNanos) {
        if (grants.used(server) == 0) {
            return false;
        }
        for (Grant grant : grants.onServer(server)) {
            double usual = rate.holdSeconds(grant.trafficClass());
            if ((nowNanos - grant.grantedNanos()) / 1e9 > OVERDUE_FACTOR * usual) {
                return true;
            }
        }
        return false;
    }

    private boolean isSpreading(long nowNanos) {
        int present = 0;
        int inUse = 0;
        for (ServerUse use : servers.values()) {
            if (!use.server.leaving()) {
                present++;
                inUse += use.everGranted && nowNanos - use.lastGrantNanos <= IN_USE_NANOS ? 1 : 0;
            }
        }
        return inUse < Math.ceil(present * Math.min(1, settings.floorShare() + FLOOR_MARGIN));
    }

    private int usableSlots(long longestAvoidance, long nowNanos) {
        int slots = 0;
        for (ServerUse use : servers.values()) {
            if (!use.server.leaving()
                    && judge.standing(use.server.id(), longestAvoidance, nowNanos) != SpellJudge.Standing.AVOIDED) {
                slots += use.server.slots();
            }
        }
        return slots;
    }

    /** By how many seconds the answer would come after the deadline at the present rate; not positive if in time. */
    private double secondsBeyondDeadline(WaitingRequest waiting, long nowNanos) {
        double slots = Math.max(1, usableSlots(Long.MAX_VALUE, nowNanos));
        double hold = rate.holdSeconds(waiting.request().trafficClass());
        int ahead = queue.ahead(waiting.request().terms().priority());
        double wait = ahead * hold / slots;
        return wait + hold - (waiting.deadlineNanos() - nowNanos) / 1e9;
    }

    private boolean cannotBeAnswered(WaitingRequest waiting, long nowNanos) {
        double hold = rate.holdSeconds(waiting.request().trafficClass());
        return servers.isEmpty() || (waiting.deadlineNanos() - nowNanos) / 1e9 < hold;
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
