package org.auburnhoist.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/** Measures the share of a service's recent requests that were not served. */
final class UnservedShare {
    /** Time over which the floor of servers in use is evaluated. */
    private static final long WINDOW_NANOS = 2_000_000_000L;
    /** Minimum number of outcomes for a meaningful share. */
    private static final int MIN_OUTCOMES = 8;

    private record Outcome(long endedNanos, boolean served) {}

    private final Deque<Outcome> recent = new ArrayDeque<>();
    private int unserved;

    void record(boolean served, long nowNanos) {
        recent.addLast(new Outcome(nowNanos, served));
        unserved += served ? 0 : 1;
        removeExpired(nowNanos);
    }

    /** The share, from 0 to 1; 0 if there were too few requests. */
    double value(long nowNanos) {
        removeExpired(nowNanos);
        return recent.size() < MIN_OUTCOMES ? 0 : (double) unserved / recent.size();
    }

    private void removeExpired(long nowNanos) {
        while (!recent.isEmpty() && nowNanos - recent.getFirst().endedNanos() > WINDOW_NANOS) {
            unserved -= recent.removeFirst().served() ? 0 : 1;
        }
    }
}
