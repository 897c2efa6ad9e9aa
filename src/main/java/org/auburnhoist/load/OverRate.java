package org.auburnhoist.load;

import java.util.Arrays;
import java.util.List;

/**
 * Counts admissions beyond a team's rate and burst from what a caller can observe: when it sent a request that ran, and
 * when the answer had arrived. The admission lies between the two, so a window that contains both contains it.
 */
final class OverRate {
    private static final long STEP_NANOS = 250_000_000;

    private OverRate() {}

    /**
     * A request that ran.
     *
     * @param sentNanos time at which the request was sent
     * @param endedNanos time at which the answer had arrived
     */
    record Admitted(long sentNanos, long endedNanos) {}

    /** Returns the maximum, over all windows, of the admissions beyond {@code burst + rate * window}. */
    static long excess(List<Admitted> admitted, double ratePerSecond, int burst) {
        if (admitted.isEmpty()) {
            return 0;
        }
        long origin = admitted.stream().mapToLong(Admitted::sentNanos).min().orElse(0);
        long last = admitted.stream().mapToLong(Admitted::endedNanos).max().orElse(0);
        int steps = step(last, origin) + 1;
        int[][] endsBySentStep = new int[steps][];
        for (Admitted one : admitted) {
            int sent = step(one.sentNanos(), origin);
            if (endsBySentStep[sent] == null) {
                endsBySentStep[sent] = new int[steps];
            }
            endsBySentStep[sent][step(one.endedNanos(), origin)]++;
        }
        return largest(endsBySentStep, ratePerSecond, burst);
    }

    private static long largest(int[][] endsBySentStep, double ratePerSecond, int burst) {
        int steps = endsBySentStep.length;
        int[] ends = new int[steps];
        long largest = 0;
        for (int first = steps - 1; first >= 0; first--) {
            int[] more = endsBySentStep[first];
            if (more != null) {
                Arrays.setAll(ends, index -> ends[index] + more[index]);
            }
            long count = 0;
            for (int end = first; end < steps; end++) {
                count += ends[end];
                double allowed = burst + ratePerSecond * (end + 1 - first) * STEP_NANOS / 1e9;
                largest = Math.max(largest, count - (long) Math.floor(allowed));
            }
        }
        return largest;
    }

    private static int step(long nanos, long origin) {
        return Math.toIntExact((nanos - origin) / STEP_NANOS);
    }
}
