package org.auburnhoist.gateway;

import java.time.Duration;

/**
 * Times of a planned stop, counted from its begin.
 *
 * <p>Callers learn of the stop from their next address response, so an address response is valid for so short a time
 * that callers have left a stopping host before it refuses their requests.
 *
 * @param accepting how long requests are accepted
 * @param draining when the requests that are left are ended
 * @param addressValidity maximum validity of address responses
 */
public record StopTimes(Duration accepting, Duration draining, Duration addressValidity) {
    /** Callers use an address for up to this many times its validity. */
    static final int VALIDITIES_UNTIL_UNUSED = 3;

    /** Fraction of the stop limit during which requests are accepted. */
    private static final double ACCEPT_FRACTION = 0.4;
    /** Later requests are refused even if the stop limit is long; callers have left the host by then. */
    private static final Duration MAX_ACCEPT_TIME = Duration.ofMillis(2_400);
    /** Fraction of the stop limit after which requests in progress are ended. */
    private static final double DRAIN_FRACTION = 0.88;
    /** Part of the accepting time in which the other hosts learn of the stop. */
    private static final double SPREAD_FRACTION = 0.125;

    /**
     * The times of a stop.
     *
     * @param stopLimit maximum duration of the stop
     */
    public static StopTimes within(Duration stopLimit) {
        Duration accepting = fraction(stopLimit, ACCEPT_FRACTION);
        if (accepting.compareTo(MAX_ACCEPT_TIME) > 0) {
            accepting = MAX_ACCEPT_TIME;
        }
        return new StopTimes(
                accepting,
                fraction(stopLimit, DRAIN_FRACTION),
                fraction(accepting, 1 - SPREAD_FRACTION).dividedBy(VALIDITIES_UNTIL_UNUSED));
    }

    private static Duration fraction(Duration whole, double fraction) {
        return Duration.ofMillis((long) (whole.toMillis() * fraction));
    }
}
