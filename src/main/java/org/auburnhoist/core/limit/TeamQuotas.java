package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.auburnhoist.core.routing.TeamPolicy;

/**
 * Token buckets of the teams whose limits this host decides for the whole fleet.
 *
 * <p>A bucket of the team's burst that fills at the team's rate keeps every window within the rate times the window
 * plus the burst. It also makes a change of the owner cheap: a new bucket that starts empty when the earlier owner
 * granted its last token keeps to the same bound, whatever the earlier owner had granted. Not thread-safe.
 */
public final class TeamQuotas {
    /** Part of the tolerated slack by which a bucket is larger than the burst; small teams send in clumps. */
    private static final double SHARE_OF_SLACK = 0.2;
    /** Part of the tolerated slack that a new owner's bucket holds at first. */
    private static final double FIRST_SHARE_OF_SLACK = 0.2;
    /** By then every host in contact has learned of a new owner and the earlier one has stopped. */
    static final long TAKEOVER_NANOS = 2_500_000_000L;

    /** A team with hardly any rate is told to come back after this time. */
    private static final double MOST_RETRY_SECONDS = 1_000;

    private final FallbackLimiter.Tolerance tolerance;
    private final Map<String, TokenLevel> levels = new HashMap<>();
    private final Map<String, Long> earlierOwnerEnds = new HashMap<>();
    private long lastChangeEnds;

    /** Buckets of a host that has just started; another host may own any team for a while yet. */
    public TeamQuotas(FallbackLimiter.Tolerance tolerance, long nowNanos) {
        this.tolerance = tolerance;
        this.lastChangeEnds = nowNanos + TAKEOVER_NANOS;
    }

    /**
     * Hosts have joined, left or begun to leave; buckets that fall to other hosts are dropped.
     *
     * @param owned whether a team's limit falls to this host now
     * @param earlierOwnersEndNanos when the owners of teams that are new here have stopped
     */
    public void membersChanged(Predicate<String> owned, long earlierOwnersEndNanos) {
        levels.keySet().removeIf(owned.negate());
        earlierOwnerEnds.keySet().removeIf(owned.negate());
        lastChangeEnds = earlierOwnersEndNanos;
    }

    /** The earlier owner of a team grants nothing since {@code endedNanos}. */
    public void markFormerOwnerStopped(String team, long endedNanos) {
        if (!levels.containsKey(team)) {
            earlierOwnerEnds.put(team, endedNanos);
        }
    }

    /** Another host decides about a team from now on. */
    public void releaseTeam(String team) {
        levels.remove(team);
        earlierOwnerEnds.remove(team);
    }

    /** Whether this host may decide about a team whose owner it is. */
    public boolean hasFormerOwnerStopped(String team, long nowNanos) {
        return nowNanos - earlierOwnerEnds(team) >= 0;
    }

    /** A team that nobody has asked about since the last change of members had no other owner since then. */
    private long earlierOwnerEnds(String team) {
        return earlierOwnerEnds.computeIfAbsent(team, name -> lastChangeEnds);
    }

    /** Admits one request of a limited team, or tells when there is a token for the next one. */
    public TokenDecision acquire(TeamPolicy team, long nowNanos) {
        double rate = Math.max(Double.MIN_NORMAL, team.ratePerSecond());
        double capacity = Math.max(1, team.burst() + SHARE_OF_SLACK * tolerance.slack());
        double first = Math.min(capacity, FIRST_SHARE_OF_SLACK * tolerance.slack());
        TokenLevel level = levels.computeIfAbsent(team.name(), name -> new TokenLevel(first, earlierOwnerEnds(name)));
        if (level.tryTake(rate, capacity, nowNanos)) {
            return TokenDecision.Admit.INSTANCE;
        }
        double seconds = Math.min(MOST_RETRY_SECONDS, level.secondsUntilToken(rate));
        return new TokenDecision.Refuse((long) Math.ceil(seconds * 1_000));
    }
}
