package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential back-off with jitter for calls to the store. */
final class RetryDelay {
    private static final long FIRST_NANOS = Duration.ofMillis(250).toNanos();
    /** Refused calls are counted as well, and the store's return must be seen within the bound of configuration. */
    private static final long MOST_NANOS = Duration.ofMillis(1_200).toNanos();

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

    /** An attempt has succeeded. */
    void reset() {
        presentNanos = FIRST_NANOS;
    }
}
