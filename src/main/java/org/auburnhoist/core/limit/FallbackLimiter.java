package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.routing.TeamPolicy;

/**
 * What a host may admit of a team while it cannot ask the owner of the team's bucket.
 *
 * <p>All hosts together get a part of the excess that the deployment tolerates, so that a host needs to know nothing of
 * the others. Not thread-safe.
 */
public final class FallbackLimiter {
    /** Part of the tolerated excess; the rest is left for a change of the owner. */
    private static final double SHARE_OF_EXCESS = 0.6;
    /** Part of the slack that all hosts together may grant at once after a start. */
    private static final double FIRST_SHARE_OF_SLACK = 0.4;

    /** What a host may save in a quiet time, in windows; all hosts may use it at the same moment. */
    private static final double MOST_SAVED_WINDOWS = 0.25;

    /**
     * How much excess is tolerated.
     *
     * @param windowSeconds length of the window over which a team's requests are counted
     * @param overrun tolerated share beyond a team's limit
     * @param slack tolerated requests beyond that
     */
    public record Tolerance(double windowSeconds, double overrun, double slack) {}

    private final Tolerance tolerance;
    private final RandomGenerator random;
    private final Map<String, Credit> credits = new HashMap<>();

    /** An allowance that has granted nothing yet. */
    public FallbackLimiter(Tolerance tolerance, RandomGenerator random) {
        this.tolerance = tolerance;
        this.random = random;
    }

    /** Takes one token if the allowance has one; {@code hosts} is the number of hosts in the fleet. */
    public boolean tryAcquire(TeamPolicy team, int hosts, long nowNanos) {
        int count = Math.max(1, hosts);
        double rate = ratePerSecond(team, count);
        Credit credit = credits.computeIfAbsent(
                team.name(), name -> new Credit(FIRST_SHARE_OF_SLACK * tolerance.slack() / count, nowNanos));
        return credit.tryTake(rate, MOST_SAVED_WINDOWS * tolerance.windowSeconds() * rate, random, nowNanos);
    }

    /** A part of a token accrues until it is used, up to a limit; it buys a request with its own probability. */
    private static final class Credit {
        private double tokens;
        private long atNanos;

        Credit(double tokens, long atNanos) {
            this.tokens = tokens;
            this.atNanos = atNanos;
        }

        boolean tryTake(double ratePerSecond, double most, RandomGenerator random, long nowNanos) {
            double accrued = Math.max(0, nowNanos - atNanos) / 1e9 * ratePerSecond;
            tokens = Math.max(tokens, Math.min(most, tokens + accrued));
            atNanos = nowNanos;
            boolean taken = tokens >= 1 || random.nextDouble() < tokens;
            // Spent also if it bought nothing, so that all hosts together admit what has accrued.
            tokens = Math.max(0, tokens - 1);
            return taken;
        }
    }

    /** Requests a second that one of {@code hosts} hosts may admit by itself. */
    double ratePerSecond(TeamPolicy team, int hosts) {
        double limit = team.ratePerSecond() * tolerance.windowSeconds() + team.burst();
        double excess = tolerance.overrun() * limit + tolerance.slack();
        return SHARE_OF_EXCESS * excess / (tolerance.windowSeconds() * hosts);
    }
}
