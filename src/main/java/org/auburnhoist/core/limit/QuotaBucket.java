package org.auburnhoist.core.limit;

/** A token bucket of which the rate and the capacity may change from call to call. Not thread-safe. */
public final class QuotaBucket {
    private double tokens;
    private long updatedNanos;

    /** Creates a bucket that holds the given number of tokens at a time. */
    public QuotaBucket(double tokens, long atNanos) {
        this.tokens = tokens;
        this.updatedNanos = atNanos;
    }

    /** Takes one token if one is available. */
    public boolean tryAcquire(double ratePerSecond, double capacity, long nowNanos) {
        if (!hasToken(ratePerSecond, capacity, nowNanos)) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Whether a token is available. */
    public boolean hasToken(double ratePerSecond, double capacity, long nowNanos) {
        double elapsed = Math.max(0, nowNanos - updatedNanos) / 1e9;
        tokens = Math.min(capacity, tokens + elapsed * ratePerSecond);
        updatedNanos = nowNanos;
        return tokens >= 1;
    }

    /** Returns the seconds until a token is available, as of the last call of another method. */
    public double secondsUntilToken(double ratePerSecond) {
        return tokens >= 1 ? 0 : (1 - tokens) / ratePerSecond;
    }
}
