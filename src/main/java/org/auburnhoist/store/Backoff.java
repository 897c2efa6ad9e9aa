package org.auburnhoist.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Jittered exponential back-off: each delay is drawn from the upper half of a range that doubles. */
final class Backoff {
    private final long initialNanos;
    private final long maximumNanos;
    private final RandomGenerator random;
    private long nextNanos;

    Backoff(Duration initial, Duration maximum, RandomGenerator random) {
        if (initial.isNegative() || initial.isZero() || maximum.compareTo(initial) < 0) {
            throw new IllegalArgumentException(
                    "initial: expected a positive delay of at most " + maximum + ", got " + initial);
        }
        this.initialNanos = initial.toNanos();
        this.maximumNanos = maximum.toNanos();
        this.random = random;
        this.nextNanos = initialNanos;
    }

    /** Returns a random delay from the current range, then doubles the range up to the maximum. */
    synchronized Duration next() {
        long half = Math.max(1, nextNanos / 2);
        long delay = half + random.nextLong(half);
        nextNanos = Math.min(maximumNanos, nextNanos * 2);
        return Duration.ofNanos(delay);
    }

    /** Resets the range to the initial delay. */
    synchronized void reset() {
        nextNanos = initialNanos;
    }
}
