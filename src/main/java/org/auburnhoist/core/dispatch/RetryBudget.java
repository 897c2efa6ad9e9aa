package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.TrafficClass;

/** Limits further attempts by the number of recent requests. */
public final class RetryBudget {
    /** Most attempts after the first one. */
    public static final int MOST_RETRIES = 2;

    private static final double SHARE = 0.1;
    /** Retries allowed in each window whatever the traffic, so that a quiet host can retry at all. */
    private static final int LEAST_PER_WINDOW = 3;

    private static final int SECONDS = 10;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final double share;
    private final double leastPerWindow;
    private final double slackPerWindow;
    private final long[] second = new long[SECONDS];
    private final int[] requests = new int[SECONDS];
    private final int[] retries = new int[SECONDS];

    /** A host's own budget: a tenth of its recent requests. */
    public RetryBudget() {
        this(SHARE, LEAST_PER_WINDOW, 0);
    }

    private RetryBudget(double share, double leastPerWindow, double slackPerWindow) {
        this.share = share;
        this.leastPerWindow = leastPerWindow;
        this.slackPerWindow = slackPerWindow;
    }

    /**
     * A budget with a part that does not depend on the traffic.
     *
     * @param share further attempts for each request of the last 10 s
     * @param slack further attempts allowed in 10 s besides
     */
    public static RetryBudget withSlack(double share, double slack) {
        return new RetryBudget(share, 0, slack);
    }

    /** Counts a request's first attempt. */
    public void requestStarted(long nowNanos) {
        requests[slot(nowNanos)]++;
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
        int limit = connectionsLost > 0 ? 1 : MOST_RETRIES;
        if (!trafficClass.isIdempotent() || attempts > limit) {
            return false;
        }
        return tryFurtherAttempt(nowNanos);
    }

    /** Decides about a further attempt by the recent traffic alone, and counts it if allowed. */
    public boolean tryFurtherAttempt(long nowNanos) {
        int slot = slot(nowNanos);
        Usage usage = usage(nowNanos);
        if (usage.retries() + 1 > usage.allowed()) {
            return false;
        }
        retries[slot]++;
        return true;
    }

    /**
     * What was counted in the last 10 s.
     *
     * @param requests first attempts
     * @param retries further attempts
     * @param allowed most further attempts for these requests
     */
    public record Usage(int requests, int retries, double allowed) {}

    /** What was counted in the last 10 s. */
    public Usage usage(long nowNanos) {
        int recentRequests = 0;
        int recentRetries = 0;
        long present = Math.floorDiv(nowNanos, SECOND_NANOS);
        for (int index = 0; index < SECONDS; index++) {
            if (present - second[index] < SECONDS) {
                recentRequests += requests[index];
                recentRetries += retries[index];
            }
        }
        double allowed = Math.max(leastPerWindow, share * recentRequests + slackPerWindow);
        return new Usage(recentRequests, recentRetries, allowed);
    }

    private int slot(long nowNanos) {
        long present = Math.floorDiv(nowNanos, SECOND_NANOS);
        int slot = (int) Math.floorMod(present, (long) SECONDS);
        if (second[slot] != present) {
            second[slot] = present;
            requests[slot] = 0;
            retries[slot] = 0;
        }
        return slot;
    }
}
