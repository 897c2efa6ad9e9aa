package org.auburnhoist.core.routing;

/**
 * What a team is entitled to.
 *
 * @param name the team's name
 * @param priority rank of the team's requests instead of their routes' ranks, negative if the routes' ranks hold
 * @param ratePerSecond requests a second over all hosts together, 0 without a limit
 * @param burst requests beyond the rate after a quiet time
 */
public record TeamPolicy(String name, int priority, double ratePerSecond, double burst) {
    /** Whether the team's requests are counted. */
    public boolean isRateLimited() {
        return ratePerSecond > 0;
    }
}
