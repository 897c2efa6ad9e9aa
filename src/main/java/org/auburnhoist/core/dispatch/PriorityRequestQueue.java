package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Requests that wait for a slot, ordered by priority.
 *
 * <p>Within a priority, requests that can still be answered within their target latency come first, in order of their
 * target time; the others follow in order of their deadline.
 */
final class PriorityRequestQueue {
    private final List<Entry> waiting = new ArrayList<>();

    /**
     * A waiting request.
     *
     * @param request the request with its deadline
     * @param targetNanos time by which the response should be available
     */
    record Entry(WaitingRequest request, long targetNanos) {
        int priority() {
            return request.request().scheduling().priority();
        }

        /** Whether the response can no longer be available at the target time. */
        boolean hasMissedTarget(double holdSeconds, long nowNanos) {
            return targetNanos - nowNanos < (long) (holdSeconds * 1e9);
        }
    }

    void add(Entry entry) {
        waiting.add(entry);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** Whether any waiting request can still be answered by its target time. */
    boolean hasTimelyRequest(double holdSeconds, long nowNanos) {
        return waiting.stream().anyMatch(entry -> !entry.hasMissedTarget(holdSeconds, nowNanos));
    }

    /** Number of waiting requests of the same or a higher priority; 0 is the highest. */
    int countAhead(int priority) {
        int count = 0;
        for (Entry other : waiting) {
            count += other.priority() <= priority ? 1 : 0;
        }
        return count;
    }

    /** Removes and returns the first request that matches the condition, or returns null. */
    @Nullable
    Entry poll(double holdSeconds, long nowNanos, Predicate<Entry> condition) {
        List<Entry> order = new ArrayList<>(waiting);
        order.sort(Comparator.comparingInt(Entry::priority)
                .thenComparing(entry -> entry.hasMissedTarget(holdSeconds, nowNanos))
                .thenComparingLong(entry -> Math.min(
                        entry.hasMissedTarget(holdSeconds, nowNanos) ? Long.MAX_VALUE : entry.targetNanos() - nowNanos,
                        entry.request().deadlineNanos() - nowNanos)));
        for (Entry entry : order) {
            if (condition.test(entry)) {
                waiting.remove(entry);
                return entry;
            }
        }
        return null;
    }

    /** Removes and returns all requests that match the condition. */
    List<Entry> removeIf(Predicate<Entry> condition) {
        List<Entry> removed = new ArrayList<>();
        waiting.removeIf(entry -> condition.test(entry) && removed.add(entry));
        return removed;
    }
}
