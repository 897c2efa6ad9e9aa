package org.auburnhoist.core.limit;

/**
 * Limits of one bucket.
 *
 * @param ratePerSecond tokens that accrue per second
 * @param capacity maximum number of tokens
 */
public record BucketLimits(double ratePerSecond, int capacity) {
    /** Limits of a bucket that never grants a token. */
    public static final BucketLimits NONE = new BucketLimits(0, 0);
}
