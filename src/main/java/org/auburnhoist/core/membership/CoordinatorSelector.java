package org.auburnhoist.core.membership;

import org.jspecify.annotations.Nullable;

/**
 * Selects the coordinator, to which this host reports: the first host in the coordinators' order of preference that is
 * believed to be alive.
 *
 * <p>A host behind a network partition believes that all others have failed. As long as no host reports to it, it
 * therefore keeps trying the others in turn; otherwise it would stay isolated after the partition has healed. Not
 * thread-safe.
 */
public final class CoordinatorSelector {
    /** Key under which {@link FleetView#order} ranks the hosts as coordinators. */
    private static final String PLACEMENT_KEY = "coordinator";

    private final FleetView fleet;
    private final String selfName;
    private String skippedName = "";
    private long skippedUntilNanos;
    private int nextProbe;

    /** Creates a selector that uses the given host's view of the fleet. */
    public CoordinatorSelector(FleetView fleet, String selfName) {
        this.fleet = fleet;
        this.selfName = selfName;
    }

    /** Returns the coordinator from this host's point of view; this host itself if it believes no other to be alive. */
    public FleetMember coordinator(long nowNanos) {
        FleetMember firstLive = null;
        for (FleetMember member : fleet.order(PLACEMENT_KEY)) {
            String name = member.id().name();
            if (!fleet.isAlive(name, nowNanos)) {
                continue;
            }
            if (firstLive == null) {
                firstLive = member;
            }
            if (!name.equals(skippedName) || skippedUntilNanos - nowNanos <= 0) {
                return member;
            }
        }
        return firstLive == null ? fleet.firstAlive(PLACEMENT_KEY, nowNanos) : firstLive;
    }

    /** Whether this host is the coordinator from its own point of view. */
    public boolean isSelf(long nowNanos) {
        return coordinator(nowNanos).id().name().equals(selfName);
    }

    /**
     * Returns the host to report to now.
     *
     * @param receivesReports whether other hosts report to this host
     * @param nowNanos current time
     * @return null if this host is the coordinator and others report to it, or if there are no others
     */
    public @Nullable FleetMember reportTarget(boolean receivesReports, long nowNanos) {
        FleetMember coordinator = coordinator(nowNanos);
        if (!coordinator.id().name().equals(selfName)) {
            return coordinator;
        }
        return receivesReports ? null : nextOther();
    }

    /** Skips a coordinator until the given time because it has not reached the store for too long. */
    public void skipUntil(String name, long untilNanos) {
        skippedName = name;
        skippedUntilNanos = untilNanos;
    }

    private @Nullable FleetMember nextOther() {
        var others = fleet.order(PLACEMENT_KEY).stream()
                .filter(member -> !member.id().name().equals(selfName))
                .toList();
        return others.isEmpty() ? null : others.get(Math.floorMod(nextProbe++, others.size()));
    }
}
