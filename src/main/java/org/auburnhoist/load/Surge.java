package org.auburnhoist.load;

/**
 * A period in which a team sends a multiple of its mean rate.
 *
 * @param team the team
 * @param factor multiple of the rate
 * @param beginNanos start of the period, relative to the start of the load
 * @param endNanos end of the period (exclusive), relative to the start of the load
 */
public record Surge(String team, double factor, long beginNanos, long endNanos) {
    boolean covers(String name, long offsetNanos) {
        return team.equals(name) && offsetNanos >= beginNanos && offsetNanos < endNanos;
    }
}
