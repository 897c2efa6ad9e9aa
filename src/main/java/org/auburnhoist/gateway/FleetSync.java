package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.CoordinatorSelector;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.StatusDigest;
import org.auburnhoist.core.message.StatusReport;
import org.auburnhoist.host.HostCalls;
import org.auburnhoist.host.MemberCalls;
import org.auburnhoist.peer.CallResult;

/**
 * Reports to the coordinator and receives changes from it, or acts as the coordinator. Confined to the control thread.
 *
 * <p>The coordinator is the first host in the placement order of that role that is believed to be alive. It needs no
 * consensus: a host to which others report reads the store for them, and everything that it passes on is versioned.
 */
final class FleetSync {
    /** Three reports fit into the time within which a change must be in force. */
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    /** A host without a configuration serves no requests, so it reports more often. */
    private static final long STARTUP_REPORT_INTERVAL_NANOS =
            Duration.ofMillis(100).toNanos();

    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);
    /** A starting host asks this many hosts for a configuration before it takes that of the store. */
    private static final int MAX_HOSTS_ASKED_AT_START = 5;

    private static final long SUSPECT_NANOS = Duration.ofSeconds(2).toNanos();
    /** A host that has received no report for this long stops acting as the coordinator. */
    private static final long COORDINATOR_TIMEOUT_NANOS =
            Duration.ofMillis(1_500).toNanos();
    /** A coordinator that has not reached the store for this long is skipped in favour of the next one. */
    private static final long MAX_STORE_AGE_MILLIS = 1_500;

    private final FleetView fleet;
    private final StoreCache cache;
    private final HostCalls peers;
    private final FleetRecordExchange crashes;
    private final BooleanSupplier ready;
    private final RandomGenerator random;
    private final String selfName;
    private final CoordinatorSelector coordinatorSelector;
    private long nextReport;
    private boolean reporting;
    private long lastReportReceivedAt;
    private boolean hasReceivedReport;
    private final Set<String> hostsAskedAtStart = new HashSet<>();

    FleetSync(
            FleetView fleet,
            StoreCache cache,
            HostCalls peers,
            FleetRecordExchange crashes,
            String selfName,
            BooleanSupplier ready,
            RandomGenerator random,
            long nowNanos) {
        this.fleet = fleet;
        this.cache = cache;
        this.peers = peers;
        this.crashes = crashes;
        this.ready = ready;
        this.random = random;
        this.selfName = selfName;
        this.coordinatorSelector = new CoordinatorSelector(fleet, selfName);
        this.nextReport = nowNanos;
    }

    /** Whether this host reads the store for other hosts. */
    boolean isCoordinator(long nowNanos) {
        return receivesReports(nowNanos) || coordinatorSelector.isSelf(nowNanos);
    }

    private boolean receivesReports(long nowNanos) {
        return hasReceivedReport && nowNanos - lastReportReceivedAt <= COORDINATOR_TIMEOUT_NANOS;
    }

    /** Answers another host's report. */
    StatusDigest handleReport(HostId from, StatusReport report, long nowNanos) {
        if (report.configurationVersion() > 0) {
            // A starting host asks several hosts, which need not read the store for it.
            hasReceivedReport = true;
            lastReportReceivedAt = nowNanos;
        }
        fleet.recordReport(from.name(), report.ready(), nowNanos);
        FleetMember reporter = fleet.member(from.name());
        if (report.configurationVersion() > cache.configurationVersion() && reporter != null && !reporting) {
            report(reporter, nowNanos);
        }
        return cache.digestFor(report, ready.getAsBoolean(), nowNanos);
    }

    /** Sends the next report when it is due. Must be called a few times a second. */
    void tick(long nowNanos) {
        if (reporting || nextReport - nowNanos > 0) {
            return;
        }
        FleetMember coordinator = coordinatorSelector.reportTarget(receivesReports(nowNanos), nowNanos);
        long interval = cache.hasConfiguration() ? REPORT_INTERVAL_NANOS : STARTUP_REPORT_INTERVAL_NANOS;
        nextReport = nowNanos + (long) (interval * (0.9 + 0.2 * random.nextDouble()));
        if (coordinator != null) {
            report(coordinator, nowNanos);
        } else if (cache.awaitsPeers()) {
            askAnotherAtStart(nowNanos);
        }
    }

    /** Asks another host if this one has just started and the hosts asked so far had no configuration. */
    private void askAnotherAtStart(long nowNanos) {
        List<FleetMember> others = fleet.members().stream()
                .filter(member -> !member.id().name().equals(selfName))
                .filter(member -> !hostsAskedAtStart.contains(member.id().name()))
                .toList();
        if (cache.hasConfiguration() || others.isEmpty() || hostsAskedAtStart.size() >= MAX_HOSTS_ASKED_AT_START) {
            cache.peersAsked();
        } else {
            report(others.get(random.nextInt(others.size())), nowNanos);
        }
    }

    private void report(FleetMember coordinator, long nowNanos) {
        reporting = true;
        String name = coordinator.id().name();
        if (cache.awaitsPeers()) {
            hostsAskedAtStart.add(name);
        }
        peers.call(
                MemberCalls.parseAddress(coordinator.peerAddress()),
                cache.report(ready.getAsBoolean()),
                REPORT_TIMEOUT,
                (result, now) -> {
                    reporting = false;
                    if (result instanceof CallResult.Answered answered
                            && answered.message() instanceof StatusDigest digest) {
                        fleet.recordAnswer(name, nowNanos);
                        cache.digestReceived(digest, name, nowNanos, now);
                        crashes.tick(coordinator, now);
                        if (digest.storeAgeMillis() < 0 || digest.storeAgeMillis() > MAX_STORE_AGE_MILLIS) {
                            coordinatorSelector.skipUntil(name, now + SUSPECT_NANOS);
                        }
                    } else {
                        fleet.suspect(name, now + SUSPECT_NANOS);
                        nextReport = coordinatorSelector.isSelf(now) ? nextReport : now;
                    }
                    if (cache.awaitsPeers()) {
                        askAnotherAtStart(now);
                    }
                });
    }
}
