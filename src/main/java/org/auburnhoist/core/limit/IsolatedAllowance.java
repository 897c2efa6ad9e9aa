package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.routing.TeamTerms;

/**
 * What a host may admit of a team while it cannot ask the owner of the team's bucket.
 *
 * <p>All hosts together get a part of the excess that the deployment tolerates, so that a host needs to know nothing of
 * the others. Not thread-safe.
 */
public final class IsolatedAllowance {
    /** Part of the tolerated excess; the rest is left for a change of the owner. */
    private static final double SHARE_OF_EXCESS = 0.6;
    /** Part of the slack that all hosts together may grant at once after a start. */
    private static final double FIRST_SHARE_OF_SLACK = 0.4;

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
    private final Map<String, TokenLevel> levels = new HashMap<>();

    /** An allowance that has granted nothing yet. */
    public IsolatedAllowance(Tolerance tolerance, RandomGenerator random) {
        this.tolerance = tolerance;
        this.random = random;
    }

    /** Takes one token if the allowance has one; {@code hosts} is the number of hosts in the fleet. */
    public boolean tryAcquire(TeamTerms team, int hosts, long nowNanos) {
        int count = Math.max(1, hosts);
        TokenLevel level = levels.computeIfAbsent(team.name(), name -> {
            boolean first = random.nextDouble() < FIRST_SHARE_OF_SLACK * tolerance.slack() / count;
            return new TokenLevel(first ? 1 : 0, nowNanos);
        });
        double rate = ratePerSecond(team, count);
        return level.tryTake(rate, Math.max(1, rate), nowNanos);
    }

    /** Requests a second that one of {@code hosts} hosts may admit by itself. */
    double ratePerSecond(TeamTerms team, int hosts) {
        double limit = team.ratePerSecond() * tolerance.windowSeconds() + team.burst();
        double excess = tolerance.overrun() * limit + tolerance.slack();
        return SHARE_OF_EXCESS * excess / (tolerance.windowSeconds() * hosts);
    }
}
