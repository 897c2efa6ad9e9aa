package org.auburnhoist.core.dispatch;

/** Counts the first and further attempts of the last ten seconds, by second. Not thread-safe. */
final class RetryWindow {
    /** Length of the window in which further attempts are compared with first ones. */
    static final int SECONDS = 10;

    private static final long SECOND_NANOS = 1_000_000_000L;
    /** One more than the window has, because its first second is counted whole. */
    private static final int SLOTS = SECONDS + 1;

    private final long[] second = new long[SLOTS];
    private final int[] requests = new int[SLOTS];
    private final int[] retries = new int[SLOTS];

    void requestStarted(long nowNanos) {
        requests[slot(nowNanos)]++;
    }

    void retried(long nowNanos) {
        retries[slot(nowNanos)]++;
    }

    /** First attempts of the last ten seconds, less those of a part of its first second. */
    int requests(long nowNanos) {
        return sum(requests, SECONDS, nowNanos);
    }

    /** Further attempts of at least the last ten seconds. */
    int retries(long nowNanos) {
        return sum(retries, SLOTS, nowNanos);
    }

    private int sum(int[] counts, int seconds, long nowNanos) {
        long present = Math.floorDiv(nowNanos, SECOND_NANOS);
        int sum = 0;
        for (int index = 0; index < SLOTS; index++) {
            sum += present - second[index] < seconds ? counts[index] : 0;
        }
        return sum;
    }

    private int slot(long nowNanos) {
        long present = Math.floorDiv(nowNanos, SECOND_NANOS);
        int slot = (int) Math.floorMod(present, (long) SLOTS);
        if (second[slot] != present) {
            second[slot] = present;
            requests[slot] = 0;
            retries[slot] = 0;
        }
        return slot;
    }
}
