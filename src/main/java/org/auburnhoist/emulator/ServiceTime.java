package org.auburnhoist.emulator;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Log-normal distribution of the time that a request occupies a slot.
 *
 * @param median time that half of the requests do not exceed
 * @param sigma standard deviation of the logarithm of the time, 0 for a constant time
 */
public record ServiceTime(Duration median, double sigma) {
    /** Draws one time from the distribution. */
    Duration draw(RandomGenerator random) {
        return Duration.ofNanos((long) (median.toNanos() * Math.exp(sigma * random.nextGaussian())));
    }
}
