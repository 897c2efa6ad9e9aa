package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.TrafficClass;

/** Limits a host's further attempts to a tenth of its recent requests. */
public final class RetryBudget {
    /** Most attempts after the first one. */
    public static final int MAX_RETRIES = 2;

    private static final double SHARE = 0.1;
    /** Retries allowed in each window whatever the traffic, so that a quiet host can retry at all. */
    private static final int LEAST_PER_WINDOW = 3;

    private final RetryWindow window = new RetryWindow();

    /** Counts a request's first attempt. */
    public void requestStarted(long nowNanos) {
        window.requestStarted(nowNanos);
    }

    /**
     * Decides about a further attempt and counts it if allowed.
     *
     * @param trafficClass kind of work; work that is not idempotent is never attempted again
     * @param attempts attempts made so far
     * @param connectionsLost how many of them ended with the server's connection lost; such a request may be what
     *     crashes the servers and is retried at most once
     * @param nowNanos the present time
     */
    public boolean tryRetry(TrafficClass trafficClass, int attempts, int connectionsLost, long nowNanos) {
        int limit = connectionsLost > 0 ? 1 : MAX_RETRIES;
        if (!trafficClass.isIdempotent() || attempts > limit) {
            return false;
        }
        if (window.retries(nowNanos) + 1 > Math.max(LEAST_PER_WINDOW, SHARE * window.requests(nowNanos))) {
            return false;
        }
        window.retried(nowNanos);
        return true;
    }
}
