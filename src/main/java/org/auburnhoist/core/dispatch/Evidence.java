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

/** The recent outcomes of one server in one class. */
final class Evidence {
    /** Enough for a share of 20% to be told from 5%, and few enough to follow a change within seconds. */
    private static final int MOST_OUTCOMES = 64;

    /** Fewer outcomes say nothing about a share. */
    static final int FEWEST_OUTCOMES = 8;

    /**
     * One outcome.
     *
     * @param atNanos when it was reported
     * @param host the reporting host
     * @param failed whether it speaks against the server
     * @param latencyMicros time to the first byte
     */
    record Outcome(long atNanos, HostId host, boolean failed, long latencyMicros) {}

    /** Bad and all outcomes. */
    record Count(int bad, int all) {
        double share() {
            return all == 0 ? 0 : (double) bad / all;
        }
    }

    private final Deque<Outcome> outcomes = new ArrayDeque<>();

    void add(Outcome outcome) {
        outcomes.addLast(outcome);
        if (outcomes.size() > MOST_OUTCOMES) {
            outcomes.removeFirst();
        }
    }

    void dropBefore(long oldestNanos) {
        while (!outcomes.isEmpty() && outcomes.getFirst().atNanos() - oldestNanos < 0) {
            outcomes.removeFirst();
        }
    }

    void dropFrom(HostId host) {
        outcomes.removeIf(outcome -> outcome.host().equals(host));
    }

    void clear() {
        outcomes.clear();
    }

    boolean isEnough() {
        return outcomes.size() >= FEWEST_OUTCOMES;
    }

    boolean isEmpty() {
        return outcomes.isEmpty();
    }

    Count count(Predicate<Outcome> bad) {
        return count(bad, null);
    }

    /** Counts all outcomes except those of one host. */
    Count count(Predicate<Outcome> bad, @Nullable HostId without) {
        int all = 0;
        int matching = 0;
        for (Outcome outcome : outcomes) {
            if (!outcome.host().equals(without)) {
                all++;
                matching += bad.test(outcome) ? 1 : 0;
            }
        }
        return new Count(matching, all);
    }

    int hostCount() {
        Set<HostId> hosts = new HashSet<>();
        outcomes.forEach(outcome -> hosts.add(outcome.host()));
        return hosts.size();
    }

    /** The host with the most bad outcomes, or null if there is none. */
    @Nullable
    HostId worstHost(Predicate<Outcome> bad) {
        Map<HostId, Integer> counts = new HashMap<>();
        outcomes.stream().filter(bad).forEach(outcome -> counts.merge(outcome.host(), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.<HostId, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    /** Median latency of the successful outcomes, or 0 without any. */
    long medianLatencyMicros() {
        long[] latencies = outcomes.stream()
                .filter(outcome -> !outcome.failed())
                .mapToLong(Outcome::latencyMicros)
                .toArray();
        Arrays.sort(latencies);
        return latencies.length == 0 ? 0 : latencies[(latencies.length - 1) / 2];
    }
}
