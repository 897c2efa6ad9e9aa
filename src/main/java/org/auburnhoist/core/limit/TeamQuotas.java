package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.auburnhoist.core.routing.TeamTerms;

/**
 * Token buckets of the teams whose limits this host decides for the whole fleet.
 *
 * <p>A bucket that is new here starts nearly empty, because an earlier owner may just have granted the whole burst. It
 * fills from the time since which this host has been the owner. Not thread-safe.
 */
public final class TeamQuotas {
    /** Part of the tolerated excess that a new bucket may grant at once. */
    private static final double FIRST_SHARE_OF_SLACK = 0.4;
    /** By then every host in contact has learned of a new owner and the earlier one has stopped. */
    private static final long TAKEOVER_NANOS = 1_500_000_000L;

    private static final class Level {
        double tokens;
        long atNanos;
    }

    private final double slack;
    private final Map<String, Level> levels = new HashMap<>();
    private long ownerSinceNanos;

    /**
     * Buckets of a host that has just started.
     *
     * @param slack requests beyond a team's limit that the deployment tolerates in a window
     * @param nowNanos the present time
     */
    public TeamQuotas(double slack, long nowNanos) {
        this.slack = slack;
        this.ownerSinceNanos = nowNanos;
    }

    /** The fleet's members have changed; buckets that fall to other hosts are dropped. */
    public void membersChanged(Predicate<String> owns, long nowNanos) {
        levels.keySet().removeIf(team -> !owns.test(team));
        ownerSinceNanos = nowNanos;
    }

    /** Whether this host may decide about a team whose owner it is. */
    public boolean isSettled(String team, long nowNanos) {
        return levels.containsKey(team) || nowNanos - ownerSinceNanos >= TAKEOVER_NANOS;
    }

    /** Takes one token of a limited team, or tells when the next one comes. */
    public TokenDecision acquire(TeamTerms team, long nowNanos) {
        double capacity = Math.max(1, team.burst());
        Level level = levels.computeIfAbsent(team.name(), name -> {
            Level created = new Level();
            created.tokens = FIRST_SHARE_OF_SLACK * slack;
            created.atNanos = ownerSinceNanos;
            return created;
        });
        double elapsed = Math.max(0, nowNanos - level.atNanos) / 1e9;
        level.tokens = Math.min(capacity, level.tokens + elapsed * team.ratePerSecond());
        level.atNanos = nowNanos;
        if (level.tokens >= 1) {
            level.tokens -= 1;
            return TokenDecision.Spend.INSTANCE;
        }
        return new TokenDecision.Refuse((long) Math.ceil((1 - level.tokens) / team.ratePerSecond() * 1000));
    }
}
