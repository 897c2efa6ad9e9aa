package org.auburnhoist.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.routing.UpstreamServer;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the server of one service for each attempt.
 *
 * <p>Requests go first to servers that have just proved to work, so that servers in a spell of failures are met seldom.
 * The floor of servers is kept in use at all times, because requests may fail at any moment for reasons not seen here.
 * Not thread-safe.
 */
final class ServerChooser {
    private static final long MILLI = 1_000_000L;
    /** A server that has announced itself gets its first request after this time, before the others. */
    private static final long INTRODUCTION_NANOS = 1_500 * MILLI;
    /**
     * Servers count as in use for this long after a request. The floor is judged over 2 s in which up to half of the
     * requests fail; when hosts are lost, the other half are those of the last second before.
     */
    private static final long IN_USE_NANOS = 1_000 * MILLI;
    /** A server that failed by itself counts as sound again after this time. */
    private static final long SOUND_AGAIN_NANOS = 2_000 * MILLI;
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

    private final double floorShare;
    /** How long a server is taken as disturbed after the last sign of it. */
    private final long disturbedNanos;

    private final GrantTable grants;
    private final ServiceRate rate;
    private final ServedShare served;
    private final SpellJudge judge = new SpellJudge();
    private final Map<String, ServerUse> servers = new LinkedHashMap<>();
    private final RandomGenerator random;
    /** What is the same for all requests that are looked at together; null once a server's use has changed. */
    private @Nullable Standings standings;

    /**
     * What all servers together are like at a time.
     *
     * @param atNanos the time
     * @param grants number of grants in use then
     * @param floor how the floor is kept
     * @param provenBusy slots in use on servers that count as proven
     * @param allSayLeaving whether each server has said that it leaves
     */
    private record Standings(long atNanos, int grants, Floor floor, int provenBusy, boolean allSayLeaving) {}

    private static final class ServerUse {
        UpstreamServer server;
        final long firstSeenNanos;
        final long coldUntilNanos;
        long lastGrantNanos;
        long provenNanos;
        boolean everGranted;
        boolean everProven;
        /** Told by the server in an answer; its registration may say so later or never. */
        boolean saysLeaving;

        ServerUse(UpstreamServer server, long nowNanos) {
            this.server = server;
            this.firstSeenNanos = nowNanos;
            this.coldUntilNanos = nowNanos + server.warmUpMillis() * MILLI;
        }
    }

    private record Candidate(
            ServerRank rank, int distance, boolean connected, int used, long silentNanos, long failedForNanos) {}

    /**
     * A chooser without servers.
     *
     * @param floor which part of the servers is kept in use
     * @param grants the service's grants in use
     * @param rate how long its requests take
     * @param served the share of its recent requests that were served
     * @param random breaks ties
     */
    ServerChooser(
            FloorSettings floor, GrantTable grants, ServiceRate rate, ServedShare served, RandomGenerator random) {
        this.floorShare = floor.share();
        this.disturbedNanos = floor.recoveryTime().toNanos();
        this.grants = grants;
        this.rate = rate;
        this.served = served;
        this.random = random;
    }

    /** Takes over the registered servers of the service. */
    void servers(List<UpstreamServer> registered, long nowNanos) {
        Map<String, ServerUse> next = new LinkedHashMap<>();
        for (UpstreamServer server : registered) {
            ServerUse known = servers.get(server.id());
            if (known == null || known.server.startedMillis() != server.startedMillis()) {
                known = new ServerUse(server, nowNanos);
            }
            known.server = server;
            next.put(server.id(), known);
        }
        servers.clear();
        servers.putAll(next);
        standings = null;
        judge.retain(servers.keySet());
    }

    /** Takes in how the attempt of a grant ended. */
    void observe(Observation observation, long grantedNanos, long nowNanos) {
        judge.observe(observation, grantedNanos, rate.latencySeconds(observation.trafficClass()), nowNanos);
        standings = null;
    }

    /** Takes in what a server said to a host about further requests. */
    void noticed(String server, HostId host, ServerNotice notice, long nowNanos) {
        ServerUse use = servers.get(server);
        if (use == null || !notice.isPresent()) {
            return;
        }
        use.saysLeaving |= notice.leaving();
        if (notice.pauseMillis() > 0) {
            judge.pause(host, server, nowNanos + notice.pauseMillis() * MILLI);
        }
        standings = null;
    }

    long avoidedNanos(String server, long nowNanos) {
        return judge.avoidedNanos(server, nowNanos);
    }

    /** Takes in that a server was granted to a request. */
    void granted(UpstreamServer server, long nowNanos) {
        ServerUse use = servers.get(server.id());
        if (use == null) {
            return;
        }
        long silent = silentNanos(use, nowNanos);
        if (silent != Long.MAX_VALUE) {
            use.everProven = true;
            use.provenNanos = nowNanos - silent;
        }
        use.lastGrantNanos = nowNanos;
        use.everGranted = true;
        standings = null;
    }

    /**
     * The best server for a request.
     *
     * @param waiting the request
     * @param barred servers that must not get it
     * @param nowNanos the present time
     * @return null if the request should wait
     */
    @Nullable
    UpstreamServer choose(WaitingRequest waiting, Set<String> barred, long nowNanos) {
        SlotRequest request = waiting.request();
        Floor floor = standings(nowNanos).floor();
        boolean pressed = waiting.waitedNanos(nowNanos) / 1e9 >= LAST_RESORT_SHARE * targetSeconds(request);
        ServerUse best = null;
        Candidate bestCandidate = null;
        for (ServerUse use : servers.values()) {
            UpstreamServer server = use.server;
            int used = grants.used(server.id());
            if (used >= server.slots() || !isAllowed(request, server) || barred.contains(server.id())) {
                continue;
            }
            Candidate candidate = candidate(waiting, use, floor, pressed, nowNanos);
            if (candidate != null && (bestCandidate == null || isBetter(candidate, bestCandidate))) {
                best = use;
                bestCandidate = candidate;
            }
        }
        boolean wait =
                bestCandidate != null && bestCandidate.rank().isWorthWaitingAt() && waitsForProven(waiting, nowNanos);
        return wait || best == null ? null : best.server;
    }

    /** Begins a look through the queue. */
    FruitlessSearches search(long nowNanos) {
        return new FruitlessSearches(judge, nowNanos);
    }

    /** Whether any server has a free slot. */
    boolean hasRoom() {
        for (ServerUse use : servers.values()) {
            if (!use.server.leaving() && grants.used(use.server.id()) < use.server.slots()) {
                return true;
            }
        }
        return false;
    }

    private static boolean isAllowed(SlotRequest request, UpstreamServer server) {
        List<String> returnsTo = request.scheduling().allowedServers();
        return !server.leaving()
                && !request.excludedServers().contains(server.id())
                && (returnsTo.isEmpty() || returnsTo.contains(server.id()));
    }

    /** Whether there is any server for a request, with or without room. */
    boolean mayServe(SlotRequest request) {
        boolean anyServer = request.scheduling().allowedServers().isEmpty();
        return servers.values().stream().anyMatch(use -> anyServer || isAllowed(request, use.server));
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
        double waitedSeconds = waiting.waitedNanos(nowNanos) / 1e9;
        int provenBusy = standings(nowNanos).provenBusy();
        return provenBusy > 0 && waitedSeconds + rate.holdSeconds(request.trafficClass()) / provenBusy < allowedSeconds;
    }

    private static double targetSeconds(SlotRequest request) {
        long target = request.scheduling().targetLatencyMillis();
        return (target > 0 ? Math.min(target, request.deadlineMillis()) : request.deadlineMillis()) / 1e3;
    }

    /** A server's suitability for a request, or null if it must not get it. */
    private @Nullable Candidate candidate(
            WaitingRequest waiting, ServerUse use, Floor floor, boolean pressed, long nowNanos) {
        ServerRank rank = rank(waiting, use, floor, pressed, nowNanos);
        if (rank == null) {
            return null;
        }
        return new Candidate(
                rank,
                sameDataCentre(waiting, use) ? 0 : 1,
                waiting.request().scheduling().connectedServers().contains(use.server.id()),
                grants.used(use.server.id()),
                silentNanos(use, nowNanos),
                judge.failedForNanos(use.server.id(), nowNanos));
    }

    private @Nullable ServerRank rank(
            WaitingRequest waiting, ServerUse use, Floor floor, boolean pressed, long nowNanos) {
        String id = use.server.id();
        if (judge.isPaused(waiting.asking(), id, nowNanos)) {
            return null;
        }
        boolean idle = grants.used(id) == 0;
        if (use.saysLeaving) {
            return pressed || standings(nowNanos).allSayLeaving() ? ServerRank.AVOIDED : null;
        }
        if (judge.avoidsPath(waiting.asking(), id, nowNanos)) {
            return pressed ? ServerRank.DOUBTFUL_PATH : null;
        }
        SpellJudge.Standing standing = judge.standing(id, longestAvoidance(floor.isShort(), nowNanos), nowNanos);
        if (standing == SpellJudge.Standing.AVOIDED) {
            return pressed && idle ? ServerRank.AVOIDED : null;
        }
        if (standing == SpellJudge.Standing.ON_TRIAL && !idle) {
            return null;
        }
        boolean neededForFloor = floor.isShort()
                && nowNanos - use.lastGrantNanos > IN_USE_NANOS
                && (floor.needsDisturbed() || isUndisturbed(id, nowNanos));
        if (standing == SpellJudge.Standing.ON_TRIAL) {
            return neededForFloor ? ServerRank.DUE_ON_TRIAL : ServerRank.ON_TRIAL;
        }
        if (neededForFloor || isIntroductionDue(use, nowNanos)) {
            return ServerRank.DUE;
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
        // The longer ago a server failed, the more likely its spell is over.
        if (candidate.rank().isTrial() && candidate.failedForNanos() != best.failedForNanos()) {
            return candidate.failedForNanos() > best.failedForNanos();
        }
        if (candidate.distance() != best.distance()) {
            return candidate.distance() < best.distance();
        }
        // A new connection costs a round trip and may hold a slot of the server.
        if (candidate.connected() != best.connected()) {
            return candidate.connected();
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
        return use.server.dataCentre().equals(waiting.request().scheduling().dataCentre());
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

    /**
     * How the floor of servers in use is kept at a time.
     *
     * <p>Which of the disturbed servers count for the floor is not known here. So the undisturbed ones in use must be
     * enough also if just those of the disturbed ones count that are not in use.
     *
     * @param needed number of undisturbed servers that must be in use
     * @param inUse number of undisturbed servers in use
     * @param undisturbed number of undisturbed servers
     */
    private record Floor(int needed, int inUse, int undisturbed) {
        boolean isShort() {
            return inUse < needed;
        }

        /** Whether disturbed servers must be used too, since all others together are too few. */
        boolean needsDisturbed() {
            return undisturbed < needed;
        }
    }

    /** Looks at all servers once for all requests that wait, instead of once for each of them. */
    private Standings standings(long nowNanos) {
        Standings present = standings;
        if (present == null || present.atNanos() != nowNanos || present.grants() != grants.size()) {
            present = new Standings(
                    nowNanos,
                    grants.size(),
                    floor(nowNanos),
                    provenBusy(nowNanos),
                    servers.values().stream().allMatch(use -> use.server.leaving() || use.saysLeaving));
            standings = present;
        }
        return present;
    }

    private int provenBusy(long nowNanos) {
        int busy = 0;
        for (ServerUse use : servers.values()) {
            if (!use.server.leaving() && silentNanos(use, nowNanos) < PROVEN_NANOS) {
                busy += grants.used(use.server.id());
            }
        }
        return busy;
    }

    private Floor floor(long nowNanos) {
        int undisturbed = 0;
        int undisturbedInUse = 0;
        int disturbedUnused = 0;
        for (ServerUse use : servers.values()) {
            String id = use.server.id();
            if (use.server.leaving() || use.saysLeaving || judge.hasFailedSince(id, nowNanos - SOUND_AGAIN_NANOS)) {
                continue;
            }
            boolean inUse = use.everGranted && nowNanos - use.lastGrantNanos <= IN_USE_NANOS;
            if (isUndisturbed(id, nowNanos)) {
                undisturbed++;
                undisturbedInUse += inUse ? 1 : 0;
            } else {
                disturbedUnused += inUse ? 0 : 1;
            }
        }
        double share = Math.min(1, floorShare + FLOOR_MARGIN);
        return new Floor((int) Math.ceil(share * (undisturbed + disturbedUnused)), undisturbedInUse, undisturbed);
    }

    private boolean isUndisturbed(String id, long nowNanos) {
        return !judge.isFailing(id) && !judge.hadTroubleSince(id, nowNanos - disturbedNanos);
    }

    FloorStatus floorUse(long nowNanos) {
        Floor floor = floor(nowNanos);
        return new FloorStatus(floor.needed(), floor.inUse(), served.unservedShare(nowNanos));
    }

    /** Slots of the servers that are not avoided. */
    int usableSlots(long nowNanos) {
        int slots = 0;
        for (ServerUse use : servers.values()) {
            if (!use.server.leaving()
                    && !use.saysLeaving
                    && judge.standing(use.server.id(), Long.MAX_VALUE, nowNanos) != SpellJudge.Standing.AVOIDED) {
                slots += use.server.slots();
            }
        }
        return slots;
    }
}
