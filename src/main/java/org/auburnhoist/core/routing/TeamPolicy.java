package org.auburnhoist.core.routing;

/**
 * Priority and rate limit of a team.
 *
 * @param name the team's name
 * @param priority priority that replaces that of the routes for the team's requests, or a negative number to keep the
 *     priority of the routes
 * @param ratePerSecond maximum number of requests per second over all hosts together, or 0 for no limit
 * @param burst number of requests allowed beyond the rate after an idle period
 */
public record TeamPolicy(String name, int priority, double ratePerSecond, double burst) {
    /** Returns whether the team has a rate limit. */
    public boolean isRateLimited() {
        return ratePerSecond > 0;
    }
}
