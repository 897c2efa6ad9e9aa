package org.auburnhoist.core.dispatch;

/**
 * One host's part of the fleet-wide retry budget of a service.
 *
 * <p>Each host counts the requests that it receives from callers and their retries, whichever host dispatches the
 * service. The parts of all hosts together therefore stay within the budget while dispatchers move and hosts are
 * partitioned. Counts are lost only by a restart; a host that has just started has a smaller part, which the other
 * hosts leave unused.
 *
 * <p>Not thread-safe.
 */
public final class HostRetryBudget {
    /** Fraction of the retry ratio for a host that has counted for at least one whole window. */
    private static final double STEADY_FRACTION_OF_RATIO = 0.75;
    /** The remaining fraction, for hosts that lost their counts by a restart. */
    private static final double STARTUP_FRACTION_OF_RATIO = 1 - STEADY_FRACTION_OF_RATIO;

    private static final double STEADY_FRACTION_OF_SLACK = 0.5;
    /** Together with the fraction above, allows for two restarts of all hosts in one window. */
    private static final double STARTUP_FRACTION_OF_SLACK = 0.25;

    /** Time after which no window contains retries of both this process and an earlier process of the host. */
    private static final long STARTUP_NANOS = (RetryWindow.SECONDS + 1) * 1_000_000_000L;

    private final RetryBudgetSettings settings;
    private final long startedNanos;
    private final double rounding;
    private final RetryWindow window = new RetryWindow();

    /**
     * Creates a budget without any counts.
     *
     * @param settings the retry budget of the service over all hosts
     * @param startedNanos when the host's process started
     * @param rounding random number from 0 to 1 of each host, so that the whole numbers of retries of all hosts add up
     *     to the sum of their fractional parts
     */
    public HostRetryBudget(RetryBudgetSettings settings, long startedNanos, double rounding) {
        this.settings = settings;
        this.startedNanos = startedNanos;
        this.rounding = rounding;
    }

    /** Counts a request from a caller. */
    public void requestStarted(long nowNanos) {
        window.requestStarted(nowNanos);
    }

    /**
     * Decides whether a retry is allowed, and counts it if so.
     *
     * @param hosts number of hosts in the fleet
     * @param nowNanos the current time
     */
    public boolean tryRetry(int hosts, long nowNanos) {
        if (window.retries(nowNanos) + 1 > allowedRetries(hosts, nowNanos) + rounding) {
            return false;
        }
        window.retryStarted(nowNanos);
        return true;
    }

    /** Number of retries in the last ten seconds. */
    public int recentRetries(long nowNanos) {
        return window.retries(nowNanos);
    }

    /** Number of retries that the host may make in ten seconds, given its requests of the last ten seconds. */
    public double allowedRetries(int hosts, long nowNanos) {
        boolean steady = nowNanos - startedNanos >= STARTUP_NANOS;
        double ratio = steady ? STEADY_FRACTION_OF_RATIO : STARTUP_FRACTION_OF_RATIO;
        double slack = steady ? STEADY_FRACTION_OF_SLACK : STARTUP_FRACTION_OF_SLACK;
        return ratio * settings.ratio() * window.requests(nowNanos) + slack * settings.slack() / Math.max(1, hosts);
    }
}
