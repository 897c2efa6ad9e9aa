package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential back-off with jitter for calls to the store. */
final class RetryDelay {
    private static final long FIRST_NANOS = Duration.ofMillis(250).toNanos();
    /** Refused calls are counted as well, and the store's return must be seen within the bound of configuration. */
    private static final long MOST_NANOS = Duration.ofMillis(1_200).toNanos();
    /** With a quarter, five attempts instead of ten fall into an outage of nine seconds of a lease of fifteen. */
    private static final int PARTS_OF_TIME_LEFT = 4;

    private final RandomGenerator random;
    private long presentNanos = FIRST_NANOS;

    RetryDelay(RandomGenerator random) {
        this.random = random;
    }

    /** The time to wait before the next attempt, in nanoseconds. */
    long nextNanos() {
        long delay = (long) (presentNanos * (0.75 + 0.5 * random.nextDouble()));
        presentNanos = Math.min(MOST_NANOS, presentNanos * 2);
        return delay;
    }

    /**
     * The time to wait where an attempt must succeed within a time only; attempts come closer to each other towards its
     * end.
     *
     * @param leftNanos how long success is not needed yet
     */
    long nextNanos(long leftNanos) {
        return Math.max(nextNanos(), leftNanos / PARTS_OF_TIME_LEFT);
    }

    /** An attempt has succeeded. */
    void reset() {
        presentNanos = FIRST_NANOS;
    }
}
