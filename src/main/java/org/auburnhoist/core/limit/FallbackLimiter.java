package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.routing.TeamPolicy;

/**
 * Limits a team's requests locally while the owner of the team's bucket cannot be reached.
 *
 * <p>All hosts together may admit a part of the excess that the deployment tolerates, so that a host needs no
 * information about what the others admit. Not thread-safe.
 */
public final class FallbackLimiter {
    /** Fraction of the tolerated excess that is used here; the rest is reserved for a change of owner. */
    private static final double EXCESS_FRACTION = 0.6;
    /** Fraction of the slack that all hosts together may grant at once after a start. */
    private static final double INITIAL_SLACK_FRACTION = 0.4;

    /** Maximum accrual during an idle time, in windows; all hosts may use theirs at the same moment. */
    private static final double MAX_ACCRUED_WINDOWS = 0.25;

    /**
     * Tolerated excess over a team's limit.
     *
     * @param windowSeconds length of the window over which a team's requests are counted
     * @param overrun tolerated excess as a fraction of a team's limit
     * @param slack number of requests tolerated in addition
     */
    public record Tolerance(double windowSeconds, double overrun, double slack) {}

    private final Tolerance tolerance;
    private final RandomGenerator random;
    private final Map<String, ProbabilisticBucket> buckets = new HashMap<>();

    /** Creates a limiter that has admitted nothing yet. */
    public FallbackLimiter(Tolerance tolerance, RandomGenerator random) {
        this.tolerance = tolerance;
        this.random = random;
    }

    /** Takes one token if one is available; {@code hosts} is the number of hosts in the fleet. */
    public boolean tryAcquire(TeamPolicy team, int hosts, long nowNanos) {
        int hostCount = Math.max(1, hosts);
        double rate = ratePerSecond(team, hostCount);
        ProbabilisticBucket bucket = buckets.computeIfAbsent(
                team.name(),
                name -> new ProbabilisticBucket(INITIAL_SLACK_FRACTION * tolerance.slack() / hostCount, nowNanos));
        return bucket.tryAcquire(rate, MAX_ACCRUED_WINDOWS * tolerance.windowSeconds() * rate, random, nowNanos);
    }

    /** A token bucket that admits a request with a probability equal to the part of a token that it holds. */
    private static final class ProbabilisticBucket {
        private double tokens;
        private long updatedNanos;

        ProbabilisticBucket(double tokens, long atNanos) {
            this.tokens = tokens;
            this.updatedNanos = atNanos;
        }

        boolean tryAcquire(double ratePerSecond, double capacity, RandomGenerator random, long nowNanos) {
            double accrued = Math.max(0, nowNanos - updatedNanos) / 1e9 * ratePerSecond;
            tokens = Math.max(tokens, Math.min(capacity, tokens + accrued));
            updatedNanos = nowNanos;
            boolean admitted = tokens >= 1 || random.nextDouble() < tokens;
            // Used up even if the request is refused, so that all hosts together admit what has accrued.
            tokens = Math.max(0, tokens - 1);
            return admitted;
        }
    }

    /** Returns the requests per second that each of {@code hosts} hosts may admit on its own. */
    double ratePerSecond(TeamPolicy team, int hosts) {
        double limit = team.ratePerSecond() * tolerance.windowSeconds() + team.burst();
        double excess = tolerance.overrun() * limit + tolerance.slack();
        return EXCESS_FRACTION * excess / (tolerance.windowSeconds() * hosts);
    }
}
