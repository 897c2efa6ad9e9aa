package org.auburnhoist.core.dispatch;

/**
 * Cumulative sum (CUSUM) of log-likelihood ratios, which grows while the outcomes are likelier to come from a faulty
 * server than from a healthy one.
 */
final class Cusum {
    /** Minimum share of bad outcomes that a faulty server is assumed to have. */
    private static final double MIN_FAULTY_SHARE = 0.2;

    /** Minimum ratio between the share of bad outcomes of a faulty server and that of a healthy one. */
    private static final double FAULTY_RATIO = 3;

    /** Above this share among the peers, bad outcomes carry no information about a single server. */
    private static final double MAX_HEALTHY_SHARE = 0.3;

    private final double minHealthyShare;
    private double sum;

    /** Creates a sum of 0; {@code minHealthyShare} is the minimum share of bad outcomes assumed of a healthy server. */
    Cusum(double minHealthyShare) {
        this.minHealthyShare = minHealthyShare;
    }

    /**
     * Adds an outcome.
     *
     * @param bad whether the outcome is bad
     * @param peerShare share of bad outcomes among the server's peers
     * @param maxSum maximum of the sum, so that old outcomes do not delay the recovery of a server
     */
    void add(boolean bad, double peerShare, double maxSum) {
        double healthy = Math.max(minHealthyShare, 1.5 * peerShare);
        if (healthy > MAX_HEALTHY_SHARE) {
            sum = 0;
            return;
        }
        double faulty = Math.min(0.95, Math.max(MIN_FAULTY_SHARE, FAULTY_RATIO * healthy));
        double change = bad ? Math.log(faulty / healthy) : Math.log((1 - faulty) / (1 - healthy));
        sum = Math.min(maxSum, Math.max(0, sum + change));
    }

    double value() {
        return sum;
    }

    void reset() {
        sum = 0;
    }
}
