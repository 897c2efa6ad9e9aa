package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.routing.TeamTerms;

/**
 * Counts the requests of the teams whose limits this host decides for the whole fleet.
 *
 * <p>In any window a team may send its rate times the window plus its burst, which is how the limit is judged; a token
 * bucket of the burst's size would refuse requests that arrive in clumps although the window has room. The window of a
 * team that is new here starts nearly full, because an earlier owner may just have granted all of it. Not thread-safe.
 */
public final class TeamQuotas {
    /** Part of the tolerated excess that a new window has room for at once. */
    private static final double FIRST_SHARE_OF_SLACK = 0.4;
    /** By then every host in contact has learned of a new owner and the earlier one has stopped. */
    private static final long TAKEOVER_NANOS = 2_500_000_000L;

    private final IsolatedAllowance.Tolerance tolerance;
    private final Map<String, SlidingCount> counts = new HashMap<>();
    private final Map<String, Long> ownerSince = new HashMap<>();
    private long changedNanos;

    /** Counts of a host that has just started. */
    public TeamQuotas(IsolatedAllowance.Tolerance tolerance, long nowNanos) {
        this.tolerance = tolerance;
        this.changedNanos = nowNanos;
    }

    /**
     * The fleet's members have changed; counts that fall to other hosts are dropped.
     *
     * @param owned all teams whose limits this host decides about now
     * @param nowNanos the present time
     */
    public void membersChanged(Set<String> owned, long nowNanos) {
        counts.keySet().retainAll(owned);
        ownerSince.keySet().retainAll(owned);
        owned.forEach(team -> ownerSince.putIfAbsent(team, nowNanos));
        changedNanos = nowNanos;
    }

    /** Whether this host may decide about a team whose owner it is. */
    public boolean isSettled(String team, long nowNanos) {
        return counts.containsKey(team) || nowNanos - ownerSince(team) >= TAKEOVER_NANOS;
    }

    /** A team that was declared after the last change of members has had no other owner since then. */
    private long ownerSince(String team) {
        return ownerSince.getOrDefault(team, changedNanos);
    }

    /** Admits one request of a limited team, or tells when there is room for the next one. */
    public TokenDecision acquire(TeamTerms team, long nowNanos) {
        double limit = Math.max(1, team.ratePerSecond() * tolerance.windowSeconds() + team.burst());
        SlidingCount count = counts.computeIfAbsent(team.name(), name -> {
            double assumed = Math.max(0, limit - FIRST_SHARE_OF_SLACK * tolerance.slack());
            return new SlidingCount(tolerance.windowSeconds(), assumed, ownerSince(name));
        });
        if (count.sum(nowNanos) + 1 <= limit) {
            count.add(nowNanos);
            return TokenDecision.Spend.INSTANCE;
        }
        return new TokenDecision.Refuse(count.millisUntil(limit - 1, nowNanos));
    }
}
