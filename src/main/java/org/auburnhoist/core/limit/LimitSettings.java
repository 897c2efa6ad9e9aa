package org.auburnhoist.core.limit;

import java.time.Duration;

/**
 * Settings of the rate limits.
 *
 * @param clockRateError maximum relative error of a host's clock
 * @param reserveLifetime time after the request for tokens in which prefetched tokens may be used
 * @param lostAnswerBackoff time for which no tokens are requested from a bucket after an answer was lost
 */
public record LimitSettings(double clockRateError, Duration reserveLifetime, Duration lostAnswerBackoff) {
    /** Default settings, used unless an operator changes them. */
    public static final LimitSettings STANDARD =
            new LimitSettings(0.001, Duration.ofSeconds(1), Duration.ofMillis(500));

    /** Maximum retry time of a refusal. */
    static final long MAX_RETRY_MILLIS = 60_000;

    /** Validates the values. */
    public LimitSettings {
        if (!(clockRateError >= 0 && clockRateError < 0.1)) {
            throw new IllegalArgumentException("clockRateError is " + clockRateError + ", expected 0 to 0.1");
        }
        if (reserveLifetime.isNegative() || reserveLifetime.isZero()) {
            throw new IllegalArgumentException("reserveLifetime is " + reserveLifetime + ", expected more than 0");
        }
        if (lostAnswerBackoff.isNegative()) {
            throw new IllegalArgumentException("lostAnswerBackoff is " + lostAnswerBackoff + ", expected at least 0");
        }
    }

    /** Returns the refill rate, lowered by the clock error because the clock may run fast. */
    double refillRate(double ratePerSecond) {
        return ratePerSecond * (1 - clockRateError);
    }

    /**
     * Returns for how long the owner counts prefetched tokens: half a lifetime longer than the other host may use them,
     * so that tokens returned at the end are still counted. The owner's clock may run fast and that of the other host
     * slow.
     */
    long prefetchTrackingNanos() {
        double clockFactor = (1 + clockRateError) * (1 + clockRateError);
        return (long) Math.ceil((reserveLifetime.toNanos() + returnWindowNanos()) * clockFactor);
    }

    /** Returns the time after the reserve lifetime in which unused tokens may still be returned and arrive. */
    long returnWindowNanos() {
        return reserveLifetime.toNanos() / 2;
    }
}
