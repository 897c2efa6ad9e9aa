package org.auburnhoist.emulator;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Log-normal distribution of the time that work holds a slot.
 *
 * @param median half of the work takes at most this long
 * @param sigma standard deviation of the logarithm, 0 for a constant time
 */
public record ServiceTime(Duration median, double sigma) {
    /** Draws one time. */
    Duration draw(RandomGenerator random) {
        return Duration.ofNanos((long) (median.toNanos() * Math.exp(sigma * random.nextGaussian())));
    }
}
