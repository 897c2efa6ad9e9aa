package org.auburnhoist.core.dispatch;

/** Counts the first attempts and the retries of the last ten seconds, in buckets of one second. Not thread-safe. */
final class RetryWindow {
    /** Length of the window in which retries are compared with first attempts. */
    static final int SECONDS = 10;

    private static final long SECOND_NANOS = 1_000_000_000L;
    /** One more than the seconds of the window, because its partial first second is counted as a whole. */
    private static final int BUCKETS = SECONDS + 1;

    private final long[] bucketSecond = new long[BUCKETS];
    private final int[] requests = new int[BUCKETS];
    private final int[] retries = new int[BUCKETS];

    void requestStarted(long nowNanos) {
        requests[currentBucket(nowNanos)]++;
    }

    void retryStarted(long nowNanos) {
        retries[currentBucket(nowNanos)]++;
    }

    /** First attempts of the last ten seconds, without those of the partial first second of the window. */
    int requests(long nowNanos) {
        return sum(requests, SECONDS, nowNanos);
    }

    /** Retries of at least the last ten seconds. */
    int retries(long nowNanos) {
        return sum(retries, BUCKETS, nowNanos);
    }

    private int sum(int[] counts, int seconds, long nowNanos) {
        long currentSecond = Math.floorDiv(nowNanos, SECOND_NANOS);
        int sum = 0;
        for (int index = 0; index < BUCKETS; index++) {
            sum += currentSecond - bucketSecond[index] < seconds ? counts[index] : 0;
        }
        return sum;
    }

    private int currentBucket(long nowNanos) {
        long currentSecond = Math.floorDiv(nowNanos, SECOND_NANOS);
        int bucket = (int) Math.floorMod(currentSecond, (long) BUCKETS);
        if (bucketSecond[bucket] != currentSecond) {
            bucketSecond[bucket] = currentSecond;
            requests[bucket] = 0;
            retries[bucket] = 0;
        }
        return bucket;
    }
}
