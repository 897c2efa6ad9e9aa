package org.auburnhoist.core.dispatch;

/** Cumulative sum that grows while a share of bad outcomes is likelier from an ill server than from a healthy one. */
final class LikelihoodSum {
    /** An ill server is assumed to have at least this share of bad outcomes. */
    private static final double ILL_SHARE = 0.2;

    /** How many times the healthy share an ill server has at least. */
    private static final double ILL_RATIO = 3;

    /** Above this share among the peers, bad outcomes tell nothing about a single server. */
    private static final double COMMON_SHARE = 0.3;

    private final double leastHealthyShare;
    private double sum;

    /** Creates a sum of 0 that assumes at least the given share of bad outcomes from a healthy server. */
    LikelihoodSum(double leastHealthyShare) {
        this.leastHealthyShare = leastHealthyShare;
    }

    /**
     * Adds an outcome.
     *
     * @param bad whether it is bad
     * @param peerShare share of bad outcomes among the server's peers
     * @param limit largest sum, so that a server that recovers is not held to old evidence
     */
    void add(boolean bad, double peerShare, double limit) {
        double healthy = Math.max(leastHealthyShare, 1.5 * peerShare);
        if (healthy > COMMON_SHARE) {
            sum = 0;
            return;
        }
        double ill = Math.min(0.95, Math.max(ILL_SHARE, ILL_RATIO * healthy));
        double change = bad ? Math.log(ill / healthy) : Math.log((1 - ill) / (1 - healthy));
        sum = Math.min(limit, Math.max(0, sum + change));
    }

    double value() {
        return sum;
    }

    void reset() {
        sum = 0;
    }
}
