package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential backoff with jitter for calls to the store. */
final class RetryDelay {
    private static final long INITIAL_NANOS = Duration.ofMillis(250).toNanos();
    /**
     * Maximum delay. Refused calls count as store calls too, and the store's return must be noticed within the time
     * limit for configuration changes.
     */
    private static final long MAX_NANOS = Duration.ofMillis(1_200).toNanos();
    /**
     * With a quarter of the time left, an outage of nine seconds sees five attempts instead of ten to renew a lease of
     * fifteen seconds.
     */
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
     * The time to wait before the next attempt if success is needed only by a deadline; the intervals become shorter
     * towards the deadline.
     *
     * @param remainingNanos time left until the deadline
     */
    long nextNanos(long remainingNanos) {
        return Math.max(nextNanos(), remainingNanos / REMAINING_TIME_DIVISOR);
    }

    /** Resets the delay after a successful attempt. */
    void reset() {
        currentNanos = INITIAL_NANOS;
    }
}
