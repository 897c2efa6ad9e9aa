package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.auburnhoist.core.routing.TeamPolicy;

/**
 * Token buckets of the teams whose limits this host decides for the whole fleet.
 *
 * <p>A bucket that has the team's burst as its capacity and refills at the team's rate keeps every window within the
 * rate times the window plus the burst. It also makes a change of owner cheap: a new bucket that starts empty when the
 * former owner grants its last token keeps the same bound, whatever the former owner has granted. Not thread-safe.
 */
public final class TeamQuotas {
    /** Fraction of the tolerated slack by which a bucket is larger than the burst, as small teams send in clusters. */
    private static final double CAPACITY_SLACK_FRACTION = 0.2;
    /** Fraction of the tolerated slack that a new owner's bucket holds initially. */
    private static final double INITIAL_SLACK_FRACTION = 0.2;
    /** Time after which every host in contact has learned of a new owner and the former owner has stopped. */
    static final long TAKEOVER_WAIT_NANOS = 2_500_000_000L;

    /** Maximum retry time of a refusal, for teams with a very low rate. */
    private static final double MAX_RETRY_SECONDS = 1_000;

    private final FallbackLimiter.Tolerance tolerance;
    private final Map<String, QuotaBucket> buckets = new HashMap<>();
    private final Map<String, Long> formerOwnerStopNanos = new HashMap<>();
    private long defaultStopNanos;

    /** Creates the buckets of a host that has just started; another host may still own any team for a short time. */
    public TeamQuotas(FallbackLimiter.Tolerance tolerance, long nowNanos) {
        this.tolerance = tolerance;
        this.defaultStopNanos = nowNanos + TAKEOVER_WAIT_NANOS;
    }

    /**
     * Handles that hosts have joined, left or started to leave; drops the buckets that other hosts own now.
     *
     * @param owned whether this host now owns a team's limit
     * @param formerOwnersStopNanos when the former owners of the teams that are new on this host have stopped
     */
    public void membersChanged(Predicate<String> owned, long formerOwnersStopNanos) {
        buckets.keySet().removeIf(owned.negate());
        formerOwnerStopNanos.keySet().removeIf(owned.negate());
        defaultStopNanos = formerOwnersStopNanos;
    }

    /** Records that the former owner of a team has granted nothing since {@code stoppedNanos}. */
    public void markFormerOwnerStopped(String team, long stoppedNanos) {
        if (!buckets.containsKey(team)) {
            formerOwnerStopNanos.put(team, stoppedNanos);
        }
    }

    /** Drops the bucket of a team about which another host decides from now on. */
    public void releaseTeam(String team) {
        buckets.remove(team);
        formerOwnerStopNanos.remove(team);
    }

    /** Returns whether the former owner has stopped, so that this host may decide about a team that it owns. */
    public boolean hasFormerOwnerStopped(String team, long nowNanos) {
        return nowNanos - formerOwnerStopNanos(team) >= 0;
    }

    /** A team not asked about since the last change of members has had no other owner since then. */
    private long formerOwnerStopNanos(String team) {
        return formerOwnerStopNanos.computeIfAbsent(team, name -> defaultStopNanos);
    }

    /** Admits one request of a rate-limited team, or refuses it with the time until the next token. */
    public TokenDecision acquire(TeamPolicy team, long nowNanos) {
        double rate = Math.max(Double.MIN_NORMAL, team.ratePerSecond());
        double capacity = Math.max(1, team.burst() + CAPACITY_SLACK_FRACTION * tolerance.slack());
        double initialTokens = Math.min(capacity, INITIAL_SLACK_FRACTION * tolerance.slack());
        QuotaBucket bucket = buckets.computeIfAbsent(
                team.name(), name -> new QuotaBucket(initialTokens, formerOwnerStopNanos(name)));
        if (bucket.tryAcquire(rate, capacity, nowNanos)) {
            return TokenDecision.Admit.INSTANCE;
        }
        double seconds = Math.min(MAX_RETRY_SECONDS, bucket.secondsUntilToken(rate));
        return new TokenDecision.Refuse((long) Math.ceil(seconds * 1_000));
    }
}
