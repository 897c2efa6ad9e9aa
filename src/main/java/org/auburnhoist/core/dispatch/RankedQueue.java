package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Requests that wait for a slot, in the order in which they are best served.
 *
 * <p>Higher ranks go first. Within a rank, those that can still be answered within their target go first, the earliest
 * target before the others; the rest follow by deadline.
 */
final class RankedQueue {
    private final List<Waiting> waiting = new ArrayList<>();

    /**
     * A waiting request.
     *
     * @param request the request with its deadline
     * @param targetNanos when the answer should have come
     */
    record Waiting(WaitingRequest request, long targetNanos) {
        int priority() {
            return request.request().scheduling().priority();
        }
    }

    void add(Waiting added) {
        waiting.add(added);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** Number of waiting requests that rank at least as high. */
    int ahead(int priority) {
        int count = 0;
        for (Waiting other : waiting) {
            count += other.priority() <= priority ? 1 : 0;
        }
        return count;
    }

    /** Takes out the first request that the condition accepts, or returns null. */
    @Nullable
    Waiting poll(double holdSeconds, long nowNanos, Predicate<Waiting> condition) {
        long holdNanos = (long) (holdSeconds * 1e9);
        List<Waiting> order = new ArrayList<>(waiting);
        order.sort(Comparator.comparingInt(Waiting::priority)
                .thenComparing(entry -> entry.targetNanos() - nowNanos < holdNanos)
                .thenComparingLong(entry -> Math.min(
                        entry.targetNanos() - nowNanos < holdNanos ? Long.MAX_VALUE : entry.targetNanos() - nowNanos,
                        entry.request().deadlineNanos() - nowNanos)));
        for (Waiting entry : order) {
            if (condition.test(entry)) {
                waiting.remove(entry);
                return entry;
            }
        }
        return null;
    }

    /** Takes out all requests that the condition accepts. */
    List<Waiting> removeIf(Predicate<Waiting> condition) {
        List<Waiting> removed = new ArrayList<>();
        waiting.removeIf(entry -> condition.test(entry) && removed.add(entry));
        return removed;
    }
}
