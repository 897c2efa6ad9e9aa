package org.auburnhoist.core.limit;

import java.util.Arrays;

/** Number of events in the window that ends now, kept in small intervals; an interval leaves the window as a whole. */
final class SlidingCount {
    private static final int INTERVALS = 50;

    private final double[] counts = new double[INTERVALS + 1];
    private final long intervalNanos;
    private long newestInterval;

    /**
     * A count.
     *
     * @param windowSeconds length of the window
     * @param assumed events taken as spread evenly over the window before {@code startNanos}
     * @param startNanos since when events are counted
     */
    SlidingCount(double windowSeconds, double assumed, long startNanos) {
        this.intervalNanos = Math.max(1, (long) (windowSeconds * 1e9 / INTERVALS));
        this.newestInterval = Math.floorDiv(startNanos, intervalNanos);
        Arrays.fill(counts, assumed / counts.length);
    }

    void add(long nowNanos) {
        advance(nowNanos);
        counts[slot(newestInterval)]++;
    }

    double sum(long nowNanos) {
        advance(nowNanos);
        double sum = 0;
        for (double count : counts) {
            sum += count;
        }
        return sum;
    }

    /** Milliseconds until the sum has fallen to a value if nothing is added, at least 1. */
    long millisUntil(double value, long nowNanos) {
        double sum = sum(nowNanos);
        for (int age = counts.length - 1; age >= 0; age--) {
            sum -= counts[slot(newestInterval - age)];
            if (sum <= value) {
                long leavesAt = (newestInterval - age + counts.length) * intervalNanos;
                return Math.max(1, (leavesAt - nowNanos) / 1_000_000L + 1);
            }
        }
        return Math.max(1, counts.length * intervalNanos / 1_000_000L);
    }

    private void advance(long nowNanos) {
        long present = Math.floorDiv(nowNanos, intervalNanos);
        long passed = Math.min(counts.length, present - newestInterval);
        for (long step = 1; step <= passed; step++) {
            counts[slot(present - passed + step)] = 0;
        }
        newestInterval = Math.max(newestInterval, present);
    }

    private int slot(long interval) {
        return (int) Math.floorMod(interval, (long) counts.length);
    }
}
