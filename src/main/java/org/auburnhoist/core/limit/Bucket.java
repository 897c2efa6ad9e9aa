package org.auburnhoist.core.limit;

/**
 * A token bucket from which other hosts may prefetch tokens.
 *
 * <p>Prefetched tokens count against the capacity until their lifetime is over, so the tokens held by other hosts and
 * the level together never exceed the burst. They are counted in two consecutive periods of one lifetime each, which
 * needs two counters instead of one entry for each grant.
 */
final class Bucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private BucketLimits limits;
    private double level;
    private long levelAtNanos;
    private int prefetchedThisPeriod;
    private int prefetchedLastPeriod;
    private long periodStartNanos;

    Bucket(BucketLimits limits, double level, long nowNanos) {
        this.limits = limits;
        this.level = Math.min(level, limits.capacity());
        this.levelAtNanos = nowNanos;
        this.periodStartNanos = nowNanos;
    }

    BucketLimits limits() {
        return limits;
    }

    double level() {
        return level;
    }

    int prefetched() {
        return prefetchedThisPeriod + prefetchedLastPeriod;
    }

    /** Adds the tokens accrued up to now and drops prefetched tokens whose lifetime is over. */
    void refill(long nowNanos, LimitSettings settings) {
        long trackingNanos = settings.prefetchTrackingNanos();
        if (nowNanos - periodStartNanos >= trackingNanos) {
            prefetchedLastPeriod = nowNanos - periodStartNanos >= 2 * trackingNanos ? 0 : prefetchedThisPeriod;
            prefetchedThisPeriod = 0;
            periodStartNanos = nowNanos;
        }
        if (nowNanos > levelAtNanos) {
            double seconds = (nowNanos - levelAtNanos) / NANOS_PER_SECOND;
            level += seconds * settings.refillRate(limits.ratePerSecond());
            levelAtNanos = nowNanos;
        }
        level = Math.max(0, Math.min(level, limits.capacity() - prefetched()));
    }

    /** Applies new limits; the level is capped at the new capacity and never raised. */
    void updateLimits(BucketLimits newLimits) {
        limits = newLimits;
        level = Math.max(0, Math.min(level, newLimits.capacity() - prefetched()));
    }

    boolean isFull() {
        return prefetched() == 0 && level >= limits.capacity();
    }

    /** Takes one token for immediate use and up to {@code wantedPrefetch} more from the upper half of the capacity. */
    int take(int wantedPrefetch) {
        if (level < 1) {
            return 0;
        }
        level -= 1;
        int surplus = (int) Math.floor(level - limits.capacity() / 2.0);
        int allowance = limits.capacity() / 4 - prefetched();
        int granted = Math.max(0, Math.min(wantedPrefetch, Math.min(surplus, allowance)));
        level -= granted;
        prefetchedThisPeriod += granted;
        return 1 + granted;
    }

    /** Takes back prefetched tokens; any beyond the outstanding number are ignored, since their lifetime is over. */
    int returnTokens(int count) {
        int accepted = Math.min(count, prefetched());
        int fromLastPeriod = Math.min(accepted, prefetchedLastPeriod);
        prefetchedLastPeriod -= fromLastPeriod;
        prefetchedThisPeriod -= accepted - fromLastPeriod;
        level += accepted;
        return accepted;
    }

    /** Counts prefetched tokens that a former owner granted. */
    void addPrefetched(int count) {
        prefetchedThisPeriod += count;
        level = Math.max(0, Math.min(level, limits.capacity() - prefetched()));
    }

    /** Returns the time until one token is available. */
    long millisUntilToken(LimitSettings settings) {
        double perSecond = settings.refillRate(limits.ratePerSecond());
        if (limits.capacity() < 1 || perSecond <= 0) {
            return LimitSettings.MAX_RETRY_MILLIS;
        }
        double millis = Math.ceil((1 - level) / perSecond * 1000);
        return (long) Math.max(1, Math.min(LimitSettings.MAX_RETRY_MILLIS, millis));
    }
}
