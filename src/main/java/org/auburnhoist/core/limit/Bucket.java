package org.auburnhoist.core.limit;

/**
 * Tokens of one bucket.
 *
 * <p>Tokens that were granted ahead of use still count against the capacity until their lifetime is over, so tokens
 * held by other hosts and the level together never exceed the burst. They are counted in two periods of one lifetime
 * each, which costs two numbers instead of one entry for each grant.
 */
final class Bucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private BucketLimits limits;
    private double level;
    private long levelAt;
    private int aheadNow;
    private int aheadBefore;
    private long periodStart;

    Bucket(BucketLimits limits, double level, long nowNanos) {
        this.limits = limits;
        this.level = Math.min(level, limits.capacity());
        this.levelAt = nowNanos;
        this.periodStart = nowNanos;
    }

    BucketLimits limits() {
        return limits;
    }

    double level() {
        return level;
    }

    int ahead() {
        return aheadNow + aheadBefore;
    }

    /** Accrues tokens up to now. */
    void advance(long nowNanos, LimitSettings settings) {
        long aheadLifetime = settings.ownerAheadNanos();
        if (nowNanos - periodStart >= aheadLifetime) {
            aheadBefore = nowNanos - periodStart >= 2 * aheadLifetime ? 0 : aheadNow;
            aheadNow = 0;
            periodStart = nowNanos;
        }
        if (nowNanos > levelAt) {
            double seconds = (nowNanos - levelAt) / NANOS_PER_SECOND;
            level += seconds * settings.accrual(limits.ratePerSecond());
            levelAt = nowNanos;
        }
        level = Math.max(0, Math.min(level, limits.capacity() - ahead()));
    }

    /** Uses new limits from now on; the level is capped and never raised. */
    void changeLimits(BucketLimits newLimits) {
        limits = newLimits;
        level = Math.max(0, Math.min(level, newLimits.capacity() - ahead()));
    }

    boolean isFull() {
        return ahead() == 0 && level >= limits.capacity();
    }

    /** Takes one token for use now and up to {@code wantedAhead} further ones from the upper half of the level. */
    int take(int wantedAhead) {
        if (level < 1) {
            return 0;
        }
        level -= 1;
        int surplus = (int) Math.floor(level - limits.capacity() / 2.0);
        int allowance = limits.capacity() / 4 - ahead();
        int granted = Math.max(0, Math.min(wantedAhead, Math.min(surplus, allowance)));
        level -= granted;
        aheadNow += granted;
        return 1 + granted;
    }

    /** Takes back tokens granted ahead; more than are outstanding are ignored, since their time is over. */
    int giveBack(int count) {
        int accepted = Math.min(count, ahead());
        int fromBefore = Math.min(accepted, aheadBefore);
        aheadBefore -= fromBefore;
        aheadNow -= accepted - fromBefore;
        level += accepted;
        return accepted;
    }

    /** Counts tokens granted ahead by a former owner. */
    void addAhead(int count) {
        aheadNow += count;
        level = Math.max(0, Math.min(level, limits.capacity() - ahead()));
    }

    /** Returns the time until one token is available. */
    long millisUntilToken(LimitSettings settings) {
        double perSecond = settings.accrual(limits.ratePerSecond());
        if (limits.capacity() < 1 || perSecond <= 0) {
            return LimitSettings.LONGEST_RETRY_MILLIS;
        }
        double millis = Math.ceil((1 - level) / perSecond * 1000);
        return (long) Math.max(1, Math.min(LimitSettings.LONGEST_RETRY_MILLIS, millis));
    }
}
