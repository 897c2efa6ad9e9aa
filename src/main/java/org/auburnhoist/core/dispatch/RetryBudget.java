package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.TrafficClass;

/** Limits a host's retries to a tenth of its recent requests. */
public final class RetryBudget {
    /** Maximum number of retries of one request. */
    public static final int MAX_RETRIES = 2;

    private static final double RATIO = 0.1;
    /** Number of retries allowed in each window regardless of traffic, so that a host with few requests can retry. */
    private static final int MIN_PER_WINDOW = 3;

    private final RetryWindow window = new RetryWindow();

    /** Counts the first attempt of a request. */
    public void requestStarted(long nowNanos) {
        window.requestStarted(nowNanos);
    }

    /**
     * Decides whether a retry is allowed, and counts it if so.
     *
     * @param trafficClass class of the request; requests that are not idempotent are never retried
     * @param attempts number of attempts made so far
     * @param connectionsLost number of these attempts whose connection was lost; such a request may be the cause of
     *     server crashes and is retried at most once
     * @param nowNanos the current time
     */
    public boolean tryRetry(TrafficClass trafficClass, int attempts, int connectionsLost, long nowNanos) {
        int limit = connectionsLost > 0 ? 1 : MAX_RETRIES;
        if (!trafficClass.isIdempotent() || attempts > limit) {
            return false;
        }
        if (window.retries(nowNanos) + 1 > Math.max(MIN_PER_WINDOW, RATIO * window.requests(nowNanos))) {
            return false;
        }
        window.retryStarted(nowNanos);
        return true;
    }
}
