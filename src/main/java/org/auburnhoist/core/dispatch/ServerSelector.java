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
 * Selects the server of one service for each attempt.
 *
 * <p>Requests go preferably to servers whose health was confirmed recently, so that few requests reach a server in a
 * failure episode. The floor of servers is kept in use at all times, because requests may fail at any moment for
 * reasons that are not observable here. Not thread-safe.
 */
final class ServerSelector {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Time after its registration at which a new server is given its first request, ahead of other servers. */
    private static final long FIRST_REQUEST_DELAY_NANOS = 1_500 * NANOS_PER_MILLI;
    /**
     * Time after a request for which a server counts as in use. The floor is evaluated over 2 s in which up to half of
     * the requests fail; when hosts are lost, the other half are those of the last second before the loss.
     */
    private static final long IN_USE_NANOS = 1_000 * NANOS_PER_MILLI;
    /** Time after a failure attributed to a server for which the server does not count for the floor. */
    private static final long FAILURE_EXCLUSION_NANOS = 2_000 * NANOS_PER_MILLI;
    /** Share of servers kept in use in addition to the floor while requests are spread over more servers. */
    private static final double FLOOR_MARGIN = 0.02;
    /** Maximum avoidance time of a failed server while too few are in use; after 2 s it counts for the floor again. */
    private static final long MAX_AVOIDANCE_NANOS = 4_000 * NANOS_PER_MILLI;
    /** The same while many requests fail, which is when the floor is evaluated. */
    private static final long MAX_AVOIDANCE_WHILE_FAILING_NANOS = 1_800 * NANOS_PER_MILLI;
    /** Unserved share from which many requests count as failing; the floor is evaluated from a share of 0.1. */
    private static final double FAILING_SHARE = 0.085;
    /** Multiple of the average hold time after which a request in flight is considered stuck. */
    private static final double OVERDUE_FACTOR = 4;
    /** Time for which a confirmation of health is valid; failure episodes begin about every ten seconds. */
    private static final long CONFIRMED_NANOS = 1_500 * NANOS_PER_MILLI;
    /** Share of a server's slots to fill before using others; full servers slow down and lose more requests at once. */
    private static final double FILLED_SHARE = 0.6;
    /** Fraction of its target latency that a request may wait for a confirmed server. */
    private static final double MAX_WAIT_FRACTION = 0.12;
    /** Fraction of its target latency after which a request may be sent to servers that have just failed. */
    private static final double LAST_RESORT_FRACTION = 0.4;
    /** Time within which a server in a failure episode fails a request. */
    private static final long FAST_FAILURE_NANOS = 60 * NANOS_PER_MILLI;

    /** Lower bound of the slots that limits leave, against a division by zero. */
    private static final double MIN_USABLE_SLOTS = 0.01;

    private final double floorShare;
    /** Time after its last failure, slow response or connection failure for which a server counts as disturbed. */
    private final long recoveryNanos;

    private final GrantTable grants;
    private final ServiceTimeEstimator serviceTimes;
    private final UnservedShare unservedShare;
    private final ServerLimits limits;
    private final TransientFailureDetector failureDetector = new TransientFailureDetector();
    private final Map<String, ServerEntry> servers = new LinkedHashMap<>();
    private final RandomGenerator random;
    /** Values shared by all requests that are considered at the same time; null after a change in a server's use. */
    private @Nullable Snapshot snapshot;

    /**
     * State of all servers together at a point in time.
     *
     * @param takenNanos the time
     * @param grants number of grants in use at that time
     * @param floor state of the floor
     * @param confirmedBusySlots number of slots in use on confirmed servers
     * @param allAnnouncedLeaving whether each server has announced that it leaves
     */
    private record Snapshot(
            long takenNanos, int grants, Floor floor, int confirmedBusySlots, boolean allAnnouncedLeaving) {}

    private static final class ServerEntry {
        UpstreamServer server;
        final long firstSeenNanos;
        final long warmUpUntilNanos;
        long lastGrantNanos;
        long lastConfirmedNanos;
        boolean wasGranted;
        boolean wasConfirmed;
        /** Announced by the server in a response; its registration may follow later or never. */
        boolean announcedLeaving;

        ServerEntry(UpstreamServer server, long nowNanos) {
            this.server = server;
            this.firstSeenNanos = nowNanos;
            this.warmUpUntilNanos = nowNanos + server.warmUpMillis() * NANOS_PER_MILLI;
        }
    }

    /**
     * Creates a selector without servers.
     *
     * @param floor the minimum share of healthy servers that must stay in use
     * @param grants the service's grants in use
     * @param serviceTimes average hold times and latencies of the service's requests
     * @param unservedShare the share of the service's recent requests that were not served
     * @param limits the rates of requests that servers have asked for
     * @param random breaks ties
     */
    ServerSelector(
            FloorSettings floor,
            GrantTable grants,
            ServiceTimeEstimator serviceTimes,
            UnservedShare unservedShare,
            ServerLimits limits,
            RandomGenerator random) {
        this.floorShare = floor.share();
        this.recoveryNanos = floor.recoveryTime().toNanos();
        this.grants = grants;
        this.serviceTimes = serviceTimes;
        this.unservedShare = unservedShare;
        this.limits = limits;
        this.random = random;
    }

    /** Applies a new list of the registered servers of the service. */
    void updateServers(List<UpstreamServer> registered, long nowNanos) {
        Map<String, ServerEntry> next = new LinkedHashMap<>();
        for (UpstreamServer server : registered) {
            ServerEntry entry = servers.get(server.id());
            if (entry == null || entry.server.startedMillis() != server.startedMillis()) {
                entry = new ServerEntry(server, nowNanos);
            }
            entry.server = server;
            next.put(server.id(), entry);
        }
        servers.clear();
        servers.putAll(next);
        snapshot = null;
        failureDetector.retain(servers.keySet());
    }

    /** Records the outcome of the attempt of a grant. */
    void observe(Observation observation, long grantedNanos, long nowNanos) {
        failureDetector.observe(
                observation, grantedNanos, serviceTimes.latencySeconds(observation.trafficClass()), nowNanos);
        snapshot = null;
    }

    /** Records what a server told a host about further requests. */
    void recordNotice(String server, HostId host, ServerNotice notice, long nowNanos) {
        ServerEntry entry = servers.get(server);
        if (entry == null || !notice.isPresent()) {
            return;
        }
        entry.announcedLeaving |= notice.leaving();
        if (notice.pauseMillis() > 0) {
            failureDetector.pause(host, server, nowNanos + notice.pauseMillis() * NANOS_PER_MILLI);
        }
        snapshot = null;
    }

    long avoidedNanos(String server, long nowNanos) {
        return failureDetector.avoidedNanos(server, nowNanos);
    }

    /** Records that a server was granted to a request. */
    void recordGrant(UpstreamServer server, long nowNanos) {
        ServerEntry entry = servers.get(server.id());
        if (entry == null) {
            return;
        }
        long sinceConfirmed = nanosSinceConfirmed(entry, nowNanos);
        if (sinceConfirmed != Long.MAX_VALUE) {
            entry.wasConfirmed = true;
            entry.lastConfirmedNanos = nowNanos - sinceConfirmed;
        }
        entry.lastGrantNanos = nowNanos;
        entry.wasGranted = true;
        snapshot = null;
    }

    /**
     * Selects the best server for a request.
     *
     * @param waiting the request
     * @param forbidden servers that must not receive the request
     * @param nowNanos the current time
     * @return null if the request should wait
     */
    @Nullable
    UpstreamServer select(WaitingRequest waiting, Set<String> forbidden, long nowNanos) {
        SlotRequest request = waiting.request();
        Floor floor = currentSnapshot(nowNanos).floor();
        boolean urgent = waiting.waitedNanos(nowNanos) / 1e9 >= LAST_RESORT_FRACTION * targetSeconds(request);
        ServerEntry best = null;
        ServerCandidate bestCandidate = null;
        for (ServerEntry entry : servers.values()) {
            UpstreamServer server = entry.server;
            if (!hasFreeSlot(server, nowNanos) || !isEligible(request, server) || forbidden.contains(server.id())) {
                continue;
            }
            ServerCandidate candidate = toCandidate(waiting, entry, floor, urgent, nowNanos);
            if (candidate != null && (bestCandidate == null || candidate.isBetterThan(bestCandidate, random))) {
                best = entry;
                bestCandidate = candidate;
            }
        }
        boolean shouldWait = bestCandidate != null
                && bestCandidate.rank().allowsWaiting()
                && shouldWaitForConfirmed(waiting, nowNanos);
        return shouldWait || best == null ? null : best.server;
    }

    /** Creates the cache for one scan of the queue. */
    NegativeSearchCache newSearchCache(long nowNanos) {
        return new NegativeSearchCache(failureDetector, nowNanos);
    }

    /** Whether any server has a free slot. */
    boolean hasFreeSlot(long nowNanos) {
        for (ServerEntry entry : servers.values()) {
            if (!entry.server.leaving() && hasFreeSlot(entry.server, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private boolean hasFreeSlot(UpstreamServer server, long nowNanos) {
        return grants.used(server.id()) < server.slots() && limits.allowsRequest(server.id(), nowNanos);
    }

    private static boolean isEligible(SlotRequest request, UpstreamServer server) {
        List<String> allowedServers = request.scheduling().allowedServers();
        return !server.leaving()
                && !request.excludedServers().contains(server.id())
                && (allowedServers.isEmpty() || allowedServers.contains(server.id()));
    }

    /**
     * Whether any server may serve a request, with or without a free slot. Unless the request has allowed servers,
     * every registered server counts.
     */
    boolean mayBeServed(SlotRequest request) {
        boolean anyServer = request.scheduling().allowedServers().isEmpty();
        return servers.values().stream().anyMatch(entry -> anyServer || isEligible(request, entry.server));
    }

    /**
     * Whether a slot on a confirmed server is expected to become free so soon that a request that cannot be retried
     * should wait for it. All responses within the target latency have the same value, so a small part of the target
     * may be spent on waiting.
     */
    private boolean shouldWaitForConfirmed(WaitingRequest waiting, long nowNanos) {
        SlotRequest request = waiting.request();
        if (request.trafficClass().isIdempotent()) {
            return false;
        }
        double allowedSeconds = MAX_WAIT_FRACTION * targetSeconds(request);
        double waitedSeconds = waiting.waitedNanos(nowNanos) / 1e9;
        int busySlots = currentSnapshot(nowNanos).confirmedBusySlots();
        return busySlots > 0
                && waitedSeconds + serviceTimes.holdSeconds(request.trafficClass()) / busySlots < allowedSeconds;
    }

    private static double targetSeconds(SlotRequest request) {
        long target = request.scheduling().targetLatencyMillis();
        return (target > 0 ? Math.min(target, request.deadlineMillis()) : request.deadlineMillis()) / 1e3;
    }

    /** The suitability of a server for a request, or null if it must not receive the request. */
    private @Nullable ServerCandidate toCandidate(
            WaitingRequest waiting, ServerEntry entry, Floor floor, boolean urgent, long nowNanos) {
        ServerRank rank = rank(waiting, entry, floor, urgent, nowNanos);
        if (rank == null) {
            return null;
        }
        return new ServerCandidate(
                rank,
                sameDataCentre(waiting, entry) ? 0 : 1,
                waiting.request().scheduling().connectedServers().contains(entry.server.id()),
                grants.used(entry.server.id()),
                nanosSinceConfirmed(entry, nowNanos),
                failureDetector.nanosSinceFailure(entry.server.id(), nowNanos));
    }

    private @Nullable ServerRank rank(
            WaitingRequest waiting, ServerEntry entry, Floor floor, boolean urgent, long nowNanos) {
        String id = entry.server.id();
        if (failureDetector.isPaused(waiting.requestingHost(), id, nowNanos)) {
            return null;
        }
        boolean idle = grants.used(id) == 0;
        if (entry.announcedLeaving) {
            return urgent || currentSnapshot(nowNanos).allAnnouncedLeaving() ? ServerRank.AVOIDED : null;
        }
        if (failureDetector.avoidsPath(waiting.requestingHost(), id, nowNanos)) {
            return urgent ? ServerRank.SUSPECT_PATH : null;
        }
        TransientFailureDetector.Status status =
                failureDetector.status(id, maxAvoidanceNanos(floor.isViolated(), nowNanos), nowNanos);
        if (status == TransientFailureDetector.Status.AVOIDED) {
            return urgent && idle ? ServerRank.AVOIDED : null;
        }
        if (status == TransientFailureDetector.Status.PROBE && !idle) {
            return null;
        }
        boolean neededForFloor = floor.isViolated()
                && nowNanos - entry.lastGrantNanos > IN_USE_NANOS
                && (floor.needsDisturbed() || isUndisturbed(id, nowNanos));
        if (status == TransientFailureDetector.Status.PROBE) {
            return neededForFloor ? ServerRank.REQUIRED_PROBE : ServerRank.PROBE;
        }
        if (neededForFloor || isFirstRequestDue(entry, nowNanos)) {
            return ServerRank.REQUIRED;
        }
        if (status == TransientFailureDetector.Status.SLOW || limits.isLimited(id) || hasOverdueRequest(id, nowNanos)) {
            return ServerRank.SLOW;
        }
        if (entry.warmUpUntilNanos - nowNanos > 0) {
            return ServerRank.WARMING_UP;
        }
        boolean belowFillLimit = grants.used(id) < Math.ceil(FILLED_SHARE * entry.server.slots());
        return belowFillLimit && nanosSinceConfirmed(entry, nowNanos) < CONFIRMED_NANOS
                ? ServerRank.CONFIRMED
                : ServerRank.UNCONFIRMED;
    }

    private long maxAvoidanceNanos(boolean floorViolated, long nowNanos) {
        if (!floorViolated) {
            return Long.MAX_VALUE;
        }
        boolean failing = unservedShare.value(nowNanos) >= FAILING_SHARE;
        return failing ? MAX_AVOIDANCE_WHILE_FAILING_NANOS : MAX_AVOIDANCE_NANOS;
    }

    /**
     * Time since the last request that confirms the server's health. A server in a failure episode fails requests at
     * once, so a request that has not failed within a short time shows that its server was healthy when it arrived.
     */
    private long nanosSinceConfirmed(ServerEntry entry, long nowNanos) {
        if (entry.wasGranted
                && nowNanos - entry.lastGrantNanos > FAST_FAILURE_NANOS
                && !failureDetector.hasFailedSince(entry.server.id(), entry.lastGrantNanos)) {
            return nowNanos - entry.lastGrantNanos;
        }
        return entry.wasConfirmed ? nowNanos - entry.lastConfirmedNanos : Long.MAX_VALUE;
    }

    private static boolean sameDataCentre(WaitingRequest waiting, ServerEntry entry) {
        return entry.server.dataCentre().equals(waiting.request().scheduling().dataCentre());
    }

    private static boolean isFirstRequestDue(ServerEntry entry, long nowNanos) {
        return !entry.wasGranted && nowNanos - entry.firstSeenNanos > FIRST_REQUEST_DELAY_NANOS;
    }

    private boolean hasOverdueRequest(String server, long nowNanos) {
        if (grants.used(server) == 0) {
            return false;
        }
        for (Grant grant : grants.onServer(server)) {
            double averageSeconds = serviceTimes.holdSeconds(grant.trafficClass());
            if ((nowNanos - grant.grantedNanos()) / 1e9 > OVERDUE_FACTOR * averageSeconds) {
                return true;
            }
        }
        return false;
    }

    /**
     * State of the floor of servers in use.
     *
     * <p>Which of the disturbed servers count for the floor is not known here. The undisturbed servers in use must
     * therefore suffice even if, of the disturbed servers, exactly those that are not in use count.
     *
     * @param needed number of undisturbed servers that must be in use
     * @param inUse number of undisturbed servers in use
     * @param undisturbed number of undisturbed servers
     */
    private record Floor(int needed, int inUse, int undisturbed) {
        boolean isViolated() {
            return inUse < needed;
        }

        /** Whether disturbed servers must be used too, because there are too few undisturbed ones. */
        boolean needsDisturbed() {
            return undisturbed < needed;
        }
    }

    /** Evaluates all servers once for all waiting requests instead of once for each request. */
    private Snapshot currentSnapshot(long nowNanos) {
        Snapshot current = snapshot;
        if (current == null || current.takenNanos() != nowNanos || current.grants() != grants.size()) {
            current = new Snapshot(
                    nowNanos,
                    grants.size(),
                    floor(nowNanos),
                    confirmedBusySlots(nowNanos),
                    servers.values().stream().allMatch(entry -> entry.server.leaving() || entry.announcedLeaving));
            snapshot = current;
        }
        return current;
    }

    private int confirmedBusySlots(long nowNanos) {
        int busy = 0;
        for (ServerEntry entry : servers.values()) {
            if (!entry.server.leaving()
                    && limits.allowsRequest(entry.server.id(), nowNanos)
                    && nanosSinceConfirmed(entry, nowNanos) < CONFIRMED_NANOS) {
                busy += grants.used(entry.server.id());
            }
        }
        return busy;
    }

    private Floor floor(long nowNanos) {
        int undisturbed = 0;
        int undisturbedInUse = 0;
        int disturbedUnused = 0;
        for (ServerEntry entry : servers.values()) {
            String id = entry.server.id();
            if (entry.server.leaving()
                    || entry.announcedLeaving
                    || failureDetector.hasFailedSince(id, nowNanos - FAILURE_EXCLUSION_NANOS)) {
                continue;
            }
            boolean inUse = entry.wasGranted && nowNanos - entry.lastGrantNanos <= IN_USE_NANOS;
            if (!inUse && !limits.allowsRequest(id, nowNanos)) {
                continue;
            }
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
        return !failureDetector.isFailing(id) && !failureDetector.wasDisturbedSince(id, nowNanos - recoveryNanos);
    }

    FloorStatus floorStatus(long nowNanos) {
        Floor floor = floor(nowNanos);
        return new FloorStatus(floor.needed(), floor.inUse(), unservedShare.value(nowNanos));
    }

    /**
     * Number of slots that requests can use on the servers that are not avoided, 1 if all are. A server that limits its
     * requests has as many as are busy on average at that rate.
     */
    double usableSlots(double holdSeconds, long nowNanos) {
        double slots = 0;
        boolean anyUsable = false;
        for (ServerEntry entry : servers.values()) {
            if (isUsable(entry, nowNanos)) {
                anyUsable = true;
                slots += Math.min(entry.server.slots(), holdSeconds * limits.rate(entry.server.id()));
            }
        }
        return anyUsable ? Math.max(MIN_USABLE_SLOTS, slots) : 1;
    }

    /** Seconds until a server that is not avoided may receive a request, as far as limits determine this. */
    double secondsUntilAllowed(long nowNanos) {
        if (limits.limitedCount() == 0) {
            return 0;
        }
        return servers.values().stream()
                .filter(entry -> isUsable(entry, nowNanos))
                .mapToDouble(entry -> limits.secondsUntilAllowed(entry.server.id(), nowNanos))
                .min()
                .orElse(0);
    }

    private boolean isUsable(ServerEntry entry, long nowNanos) {
        return !entry.server.leaving()
                && !entry.announcedLeaving
                && failureDetector.status(entry.server.id(), Long.MAX_VALUE, nowNanos)
                        != TransientFailureDetector.Status.AVOIDED;
    }
}
