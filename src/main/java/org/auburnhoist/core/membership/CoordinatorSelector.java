package org.auburnhoist.core.membership;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the host to which this one reports: the first one in the order of that duty that is believed alive.
 *
 * <p>A host that was cut off believes that all others are gone. As long as nobody reports to it, it therefore goes on
 * trying the others in turn; otherwise it would stay alone after the cut has ended. Not thread-safe.
 */
public final class CoordinatorSelector {
    /** The duty's name in the placement of duties. */
    private static final String DUTY = "coordinator";

    private final FleetView fleet;
    private final String selfName;
    private String stale = "";
    private long staleUntil;
    private int tried;

    /** A choice by one host's view. */
    public CoordinatorSelector(FleetView fleet, String selfName) {
        this.fleet = fleet;
        this.selfName = selfName;
    }

    /** The host that coordinates as far as this host knows; this host itself if it knows of no other. */
    public FleetMember coordinator(long nowNanos) {
        FleetMember first = null;
        for (FleetMember member : fleet.order(DUTY)) {
            String name = member.id().name();
            if (!fleet.isAlive(name, nowNanos)) {
                continue;
            }
            if (first == null) {
                first = member;
            }
            if (!name.equals(stale) || staleUntil - nowNanos <= 0) {
                return member;
            }
        }
        return first == null ? fleet.firstAlive(DUTY, nowNanos) : first;
    }

    /** Whether this host coordinates as far as it knows. */
    public boolean isSelf(long nowNanos) {
        return coordinator(nowNanos).id().name().equals(selfName);
    }

    /**
     * The host to report to now.
     *
     * @param reportedTo whether others report to this host
     * @param nowNanos the present time
     * @return null if this host coordinates and others agree, or if there are no others
     */
    public @Nullable FleetMember reportTarget(boolean reportedTo, long nowNanos) {
        FleetMember coordinator = coordinator(nowNanos);
        if (!coordinator.id().name().equals(selfName)) {
            return coordinator;
        }
        return reportedTo ? null : nextOther();
    }

    /** A coordinator has not reached the store for too long and is passed over until a time. */
    public void skipUntil(String name, long untilNanos) {
        stale = name;
        staleUntil = untilNanos;
    }

    private @Nullable FleetMember nextOther() {
        var others = fleet.order(DUTY).stream()
                .filter(member -> !member.id().name().equals(selfName))
                .toList();
        return others.isEmpty() ? null : others.get(Math.floorMod(tried++, others.size()));
    }
}
