package org.auburnhoist.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;

/**
 * Decides which share of the servers' limits a host may grant as a dispatcher.
 *
 * <p>The share follows the host's position in the service's order of all members, not which of them it believes to be
 * alive. The shares of all hosts together therefore stay below one and a half, which servers tolerate, however many
 * hosts take themselves for the dispatcher, for example in a partition. Not thread-safe.
 */
public final class LimitShares {
    /** Hosts after the first one in the order that have a share. */
    private static final int MAX_SUBSTITUTES = 2;
    /** Share of a substitute, and of a host that was not the first in the order until a short time ago. */
    private static final double SUBSTITUTE_SHARE = 0.2;
    /** Time in which every host in contact learns that members have changed. */
    private static final long SETTLING_NANOS = 2_500_000_000L;

    private final FleetView fleet;
    private final String selfName;
    private final LongPredicate membershipValid;
    /** Since when this host is the first in the order of a service. */
    private final Map<String, Long> firstSince = new HashMap<>();

    /**
     * Creates the shares of a host that has just started.
     *
     * @param fleet the members
     * @param selfName the host's name
     * @param membershipValid whether it is certain at a time that the other hosts still regard this one as a member
     */
    public LimitShares(FleetView fleet, String selfName, LongPredicate membershipValid) {
        this.fleet = fleet;
        this.selfName = selfName;
        this.membershipValid = membershipValid;
    }

    /** Returns the placement key of the dispatchers of a service. */
    public static String placementKey(String service) {
        return "service/" + service;
    }

    /** Checks for which services this host has ceased to be the first in the order. */
    public void membersChanged() {
        firstSince.keySet().removeIf(service -> position(service) != 0);
    }

    /** Returns the share of the limits of a service's servers, from 0 to 1. */
    public double share(String service, long nowNanos) {
        int position = position(service);
        if (position != 0) {
            firstSince.remove(service);
            return position > 0 && position <= MAX_SUBSTITUTES ? SUBSTITUTE_SHARE : 0;
        }
        long sinceNanos = firstSince.computeIfAbsent(service, name -> nowNanos);
        boolean settled = nowNanos - sinceNanos >= SETTLING_NANOS && membershipValid.test(nowNanos);
        return settled ? 1 : SUBSTITUTE_SHARE;
    }

    /** Position of this host in the order of a service, 0 is the first; -1 if it is not among the first ones. */
    private int position(String service) {
        List<FleetMember> order = fleet.order(placementKey(service));
        for (int position = 0; position < Math.min(order.size(), 1 + MAX_SUBSTITUTES); position++) {
            if (order.get(position).id().name().equals(selfName)) {
                return position;
            }
        }
        return -1;
    }
}
