package org.auburnhoist.core.dispatch;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.auburnhoist.core.HostId;
import org.jspecify.annotations.Nullable;

/** Recent outcomes of one server in one traffic class. */
final class OutcomeWindow {
    /** Large enough to distinguish a share of 20% from 5%, and small enough to follow a change within seconds. */
    private static final int MAX_OUTCOMES = 64;

    /** Minimum number of outcomes for a meaningful share. */
    static final int MIN_OUTCOMES = 8;

    /**
     * An outcome of an attempt.
     *
     * @param reportedNanos when it was reported
     * @param host the reporting host
     * @param failed whether it counts as a failure of the server
     * @param latencyMicros time to the first byte of the response
     */
    record Outcome(long reportedNanos, HostId host, boolean failed, long latencyMicros) {}

    /** Number of bad outcomes and of all outcomes. */
    record Count(int bad, int total) {
        double share() {
            return total == 0 ? 0 : (double) bad / total;
        }
    }

    private final Deque<Outcome> outcomes = new ArrayDeque<>();

    void add(Outcome outcome) {
        outcomes.addLast(outcome);
        if (outcomes.size() > MAX_OUTCOMES) {
            outcomes.removeFirst();
        }
    }

    void removeBefore(long cutoffNanos) {
        while (!outcomes.isEmpty() && outcomes.getFirst().reportedNanos() - cutoffNanos < 0) {
            outcomes.removeFirst();
        }
    }

    void removeReportsOf(HostId host) {
        outcomes.removeIf(outcome -> outcome.host().equals(host));
    }

    void clear() {
        outcomes.clear();
    }

    boolean hasEnoughOutcomes() {
        return outcomes.size() >= MIN_OUTCOMES;
    }

    boolean isEmpty() {
        return outcomes.isEmpty();
    }

    Count count(Predicate<Outcome> bad) {
        return count(bad, null);
    }

    /** Counts all outcomes except those of one host. */
    Count count(Predicate<Outcome> bad, @Nullable HostId excluded) {
        int total = 0;
        int matching = 0;
        for (Outcome outcome : outcomes) {
            if (!outcome.host().equals(excluded)) {
                total++;
                matching += bad.test(outcome) ? 1 : 0;
            }
        }
        return new Count(matching, total);
    }

    int hostCount() {
        Set<HostId> hosts = new HashSet<>();
        outcomes.forEach(outcome -> hosts.add(outcome.host()));
        return hosts.size();
    }

    /** The host that reported the most bad outcomes, or null if there are no bad outcomes. */
    @Nullable
    HostId worstHost(Predicate<Outcome> bad) {
        Map<HostId, Integer> counts = new HashMap<>();
        outcomes.stream().filter(bad).forEach(outcome -> counts.merge(outcome.host(), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.<HostId, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    /** Median latency of the successful outcomes, or 0 if there are none. */
    long medianLatencyMicros() {
        long[] latencies = outcomes.stream()
                .filter(outcome -> !outcome.failed())
                .mapToLong(Outcome::latencyMicros)
                .toArray();
        Arrays.sort(latencies);
        return latencies.length == 0 ? 0 : latencies[(latencies.length - 1) / 2];
    }
}
