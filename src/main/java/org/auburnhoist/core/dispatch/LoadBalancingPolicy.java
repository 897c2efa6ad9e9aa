package org.auburnhoist.core.dispatch;

import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Selects one of the servers with a free slot. */
interface LoadBalancingPolicy {
    /**
     * A server that may be selected.
     *
     * @param server the server's name
     * @param used number of its slots in use
     */
    record Candidate(String server, int used) {}

    /** Selects a server, or returns null if there are no candidates. */
    @Nullable
    String select(List<Candidate> candidates);

    /** Records that a slot of the server was granted. */
    void granted(String server);

    /** Selects the server with the fewest slots in use; ties are broken at random. */
    static LoadBalancingPolicy leastLoaded(RandomGenerator random) {
        return new LoadBalancingPolicy() {
            @Override
            public @Nullable String select(List<Candidate> candidates) {
                int minUsed =
                        candidates.stream().mapToInt(Candidate::used).min().orElse(0);
                List<Candidate> best = candidates.stream()
                        .filter(candidate -> candidate.used() == minUsed)
                        .toList();
                return best.isEmpty()
                        ? null
                        : best.get(random.nextInt(best.size())).server();
            }

            @Override
            public void granted(String server) {
                // The candidates contain the slots in use, so no state is needed.
            }
        };
    }

    /** Selects the servers in turn, in order of their names. */
    static LoadBalancingPolicy roundRobin() {
        return new LoadBalancingPolicy() {
            private String last = "";

            @Override
            public @Nullable String select(List<Candidate> candidates) {
                if (candidates.isEmpty()) {
                    return null;
                }
                return candidates.stream()
                        .map(Candidate::server)
                        .filter(server -> server.compareTo(last) > 0)
                        .min(String::compareTo)
                        .orElseGet(() -> candidates.stream()
                                .map(Candidate::server)
                                .min(String::compareTo)
                                .orElse(""));
            }

            @Override
            public void granted(String server) {
                last = server;
            }
        };
    }
}
