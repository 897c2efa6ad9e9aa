package org.auburnhoist.core.limit;

import java.time.Duration;

/**
 * Settings of the rate limits.
 *
 * @param clockRateError largest relative error of a host's clock
 * @param reserveLifetime time after the question in which tokens granted ahead may be spent
 * @param lostAnswerBackoff time for which a bucket is not asked after an answer was lost
 */
public record LimitSettings(double clockRateError, Duration reserveLifetime, Duration lostAnswerBackoff) {
    /** The settings in use unless an operator changes them. */
    public static final LimitSettings STANDARD =
            new LimitSettings(0.001, Duration.ofSeconds(1), Duration.ofMillis(500));

    /** Longest time that a refusal names. */
    static final long LONGEST_RETRY_MILLIS = 60_000;

    /** Checks the values. */
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

    /** Returns the rate at which tokens accrue on a clock that may be fast. */
    double accrual(double ratePerSecond) {
        return ratePerSecond * (1 - clockRateError);
    }

    /**
     * Returns for how long the owner counts tokens granted ahead: half a lifetime longer than the other host may spend
     * them, so that tokens returned at the end still find their count. The owner's clock may be fast and that of the
     * other host slow.
     */
    long ownerAheadNanos() {
        double stretch = (1 + clockRateError) * (1 + clockRateError);
        return (long) Math.ceil((reserveLifetime.toNanos() + returnNanos()) * stretch);
    }

    /** Returns the time after the reserve lifetime in which unspent tokens may still be returned and arrive. */
    long returnNanos() {
        return reserveLifetime.toNanos() / 2;
    }
}
