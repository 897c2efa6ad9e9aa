package org.auburnhoist.core.limit;

/** A token bucket of which the rate and the capacity may change from call to call. */
final class QuotaBucket {
    private double tokens;
    private long updatedNanos;

    QuotaBucket(double tokens, long atNanos) {
        this.tokens = tokens;
        this.updatedNanos = atNanos;
    }

    /** Takes one token if one is available. */
    boolean tryAcquire(double ratePerSecond, double capacity, long nowNanos) {
        double elapsed = Math.max(0, nowNanos - updatedNanos) / 1e9;
        tokens = Math.min(capacity, tokens + elapsed * ratePerSecond);
        updatedNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Returns the seconds until a token is available, as of the last call of {@link #tryAcquire}. */
    double secondsUntilToken(double ratePerSecond) {
        return Math.max(0, 1 - tokens) / ratePerSecond;
    }
}
