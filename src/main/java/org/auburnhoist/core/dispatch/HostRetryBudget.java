package org.auburnhoist.core.dispatch;

/**
 * One host's part of the further attempts that a service tolerates.
 *
 * <p>Each host counts the requests that callers sent to it and the further attempts of these, whichever host dispatches
 * the service. So the parts of all hosts together stay within the tolerance while dispatchers change and hosts are cut
 * off. Only a restart loses a count; a host that has just started has a smaller part, which is kept free by the others.
 *
 * <p>Not thread-safe.
 */
public final class HostRetryBudget {
    /** Part of the tolerated share of a host that knows the whole last window. */
    private static final double SETTLED_PART_OF_SHARE = 0.75;
    /** The rest, for hosts whose counts of before their start are lost. */
    private static final double STARTING_PART_OF_SHARE = 1 - SETTLED_PART_OF_SHARE;

    private static final double SETTLED_PART_OF_SLACK = 0.5;
    /** Leaves room for two restarts of all hosts in one window. */
    private static final double STARTING_PART_OF_SLACK = 0.25;

    /** After this time what an earlier process of the host did is no longer in any window with what this one does. */
    private static final long SETTLED_NANOS = (RetryWindow.SECONDS + 1) * 1_000_000_000L;

    private final RetryBudgetSettings tolerance;
    private final long startedNanos;
    private final double rounding;
    private final RetryWindow window = new RetryWindow();

    /**
     * A budget that has counted nothing.
     *
     * @param tolerance what the service tolerates over all hosts
     * @param startedNanos when the host's process started
     * @param rounding from 0 to 1, drawn by each host, so that whole attempts of all hosts add up to their parts
     */
    public HostRetryBudget(RetryBudgetSettings tolerance, long startedNanos, double rounding) {
        this.tolerance = tolerance;
        this.startedNanos = startedNanos;
        this.rounding = rounding;
    }

    /** Counts a caller's request. */
    public void requestStarted(long nowNanos) {
        window.requestStarted(nowNanos);
    }

    /**
     * Decides about a further attempt and counts it if allowed.
     *
     * @param hosts number of hosts in the fleet
     * @param nowNanos the present time
     */
    public boolean tryRetry(int hosts, long nowNanos) {
        if (window.retries(nowNanos) + 1 > allowedRetries(hosts, nowNanos) + rounding) {
            return false;
        }
        window.retried(nowNanos);
        return true;
    }

    /** Further attempts of the last ten seconds. */
    public int recentRetries(long nowNanos) {
        return window.retries(nowNanos);
    }

    /** Further attempts that the host may make in ten seconds with the requests that it had in the last ones. */
    public double allowedRetries(int hosts, long nowNanos) {
        boolean settled = nowNanos - startedNanos >= SETTLED_NANOS;
        double share = settled ? SETTLED_PART_OF_SHARE : STARTING_PART_OF_SHARE;
        double slack = settled ? SETTLED_PART_OF_SLACK : STARTING_PART_OF_SLACK;
        return share * tolerance.ratio() * window.requests(nowNanos) + slack * tolerance.slack() / Math.max(1, hosts);
    }
}
