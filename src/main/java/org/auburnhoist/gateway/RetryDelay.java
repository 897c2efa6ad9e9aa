package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential back-off with jitter for calls to the store. */
final class RetryDelay {
    private static final long INITIAL_NANOS = Duration.ofMillis(250).toNanos();
    /** Refused calls are counted as well, and the store's return must be seen within the bound of configuration. */
    private static final long MAX_NANOS = Duration.ofMillis(1_200).toNanos();
    /** With a quarter, five attempts instead of ten fall into an outage of nine seconds of a lease of fifteen. */
    private static final int REMAINING_TIME_DIVISOR = 4;

    private final RandomGenerator random;
    private long currentNanos = INITIAL_NANOS;

    RetryDelay(RandomGenerator random) {
        this.random = random;
    }

    /** The time to wait before the next attempt, in nanoseconds. */
    long nextNanos() {
        long delay = (long) (currentNanos * (0.75 + 0.5 * random.nextDouble()));
        currentNanos = Math.min(MAX_NANOS, currentNanos * 2);
        return delay;
    }

    /**
     * The time to wait where an attempt must succeed within a time only; attempts come closer to each other towards its
     * end.
     *
     * @param leftNanos how long success is not needed yet
     */
    long nextNanos(long leftNanos) {
        return Math.max(nextNanos(), leftNanos / REMAINING_TIME_DIVISOR);
    }

    /** An attempt has succeeded. */
    void reset() {
        currentNanos = INITIAL_NANOS;
    }
}
