package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.CoordinatorSelector;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.StatusDigest;
import org.auburnhoist.core.message.StatusReport;
import org.auburnhoist.host.PeerCalls;
import org.auburnhoist.host.Peers;
import org.auburnhoist.peer.CallResult;

/**
 * Reports to the coordinator and learns from it what is new; or acts as the coordinator. Belongs to the control thread.
 *
 * <p>The coordinator is the first host in the order of that duty that is believed alive. It needs no agreement: a host
 * to which others report reads the store for them, and all that it passes on carries versions.
 */
final class FleetSync {
    /** Three reports fit into the time within which a change must be in force. */
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /** A host without a configuration serves nobody, so it asks more often. */
    private static final long STARTUP_REPORT_INTERVAL_NANOS =
            Duration.ofMillis(100).toNanos();

    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);
    private static final long SUSPECT_NANOS = Duration.ofSeconds(2).toNanos();
    /** A host to which nobody has reported for this long coordinates no more. */
    private static final long COORDINATOR_TIMEOUT_NANOS =
            Duration.ofMillis(1_500).toNanos();
    /** A coordinator that has not reached the store for this long is left for the next one. */
    private static final long MAX_STORE_AGE_MILLIS = 1_500;

    private final FleetView fleet;
    private final StoreCache cache;
    private final PeerCalls peers;
    private final BooleanSupplier ready;
    private final RandomGenerator random;
    private final CoordinatorSelector coordinatorSelector;
    private long nextReport;
    private boolean reporting;
    private long lastReportReceivedAt;
    private boolean hasReceivedReport;

    FleetSync(
            FleetView fleet,
            StoreCache knowledge,
            PeerCalls peers,
            String selfName,
            BooleanSupplier ready,
            RandomGenerator random,
            long nowNanos) {
        this.fleet = fleet;
        this.cache = knowledge;
        this.peers = peers;
        this.ready = ready;
        this.random = random;
        this.coordinatorSelector = new CoordinatorSelector(fleet, selfName);
        this.nextReport = nowNanos;
    }

    /** Whether this host reads the store for others. */
    boolean isCoordinator(long nowNanos) {
        return receivesReports(nowNanos) || coordinatorSelector.isSelf(nowNanos);
    }

    private boolean receivesReports(long nowNanos) {
        return hasReceivedReport && nowNanos - lastReportReceivedAt <= COORDINATOR_TIMEOUT_NANOS;
    }

    /** Answers another host's report. */
    StatusDigest handleReport(HostId from, StatusReport report, long nowNanos) {
        hasReceivedReport = true;
        lastReportReceivedAt = nowNanos;
        fleet.recordReport(from.name(), report.ready(), nowNanos);
        return cache.digestFor(report, ready.getAsBoolean(), nowNanos);
    }

    /** Sends the next report when it is due; to be called a few times a second. */
    void tick(long nowNanos) {
        if (reporting || nextReport - nowNanos > 0) {
            return;
        }
        FleetMember coordinator = coordinatorSelector.reportTarget(receivesReports(nowNanos), nowNanos);
        long interval = cache.hasConfiguration() ? REPORT_INTERVAL_NANOS : STARTUP_REPORT_INTERVAL_NANOS;
        nextReport = nowNanos + (long) (interval * (0.9 + 0.2 * random.nextDouble()));
        if (coordinator != null) {
            report(coordinator, nowNanos);
        }
    }

    private void report(FleetMember coordinator, long nowNanos) {
        reporting = true;
        String name = coordinator.id().name();
        peers.call(
                Peers.addressOf(coordinator.peerAddress()),
                cache.report(ready.getAsBoolean()),
                REPORT_TIMEOUT,
                (result, now) -> {
                    reporting = false;
                    if (result instanceof CallResult.Answered answered
                            && answered.message() instanceof StatusDigest digest) {
                        fleet.recordAnswer(name, nowNanos);
                        cache.digestReceived(digest, name, nowNanos, now);
                        if (digest.storeAgeMillis() < 0 || digest.storeAgeMillis() > MAX_STORE_AGE_MILLIS) {
                            coordinatorSelector.skipUntil(name, now + SUSPECT_NANOS);
                        }
                    } else {
                        fleet.suspect(name, now + SUSPECT_NANOS);
                        nextReport = coordinatorSelector.isSelf(now) ? nextReport : now;
                    }
                });
    }
}
