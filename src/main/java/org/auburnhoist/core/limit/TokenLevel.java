package org.auburnhoist.core.limit;

/** Tokens that accrue with time up to a capacity; rate and capacity may change from call to call. */
final class TokenLevel {
    private double tokens;
    private long atNanos;

    TokenLevel(double tokens, long atNanos) {
        this.tokens = tokens;
        this.atNanos = atNanos;
    }

    /** Takes one token if there is one. */
    boolean tryTake(double ratePerSecond, double capacity, long nowNanos) {
        double elapsed = Math.max(0, nowNanos - atNanos) / 1e9;
        tokens = Math.min(capacity, tokens + elapsed * ratePerSecond);
        atNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Seconds until there is a token, as of the last call. */
    double secondsUntilToken(double ratePerSecond) {
        return Math.max(0, 1 - tokens) / ratePerSecond;
    }
}
