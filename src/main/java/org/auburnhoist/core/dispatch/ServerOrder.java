package org.auburnhoist.core.dispatch;

import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Chooses among servers with a free slot. */
interface ServerOrder {
    /**
     * A server that may be chosen.
     *
     * @param server its name
     * @param used its slots in use
     */
    record Candidate(String server, int used) {}

    /** Chooses a server, or returns null if there is none. */
    @Nullable
    String choose(List<Candidate> candidates);

    /** Tells that a slot of the server was granted. */
    void granted(String server);

    /** The server with the fewest slots in use; ties are broken at random. */
    static ServerOrder leastUsed(RandomGenerator random) {
        return new ServerOrder() {
            @Override
            public @Nullable String choose(List<Candidate> candidates) {
                int least = candidates.stream().mapToInt(Candidate::used).min().orElse(0);
                List<Candidate> best = candidates.stream()
                        .filter(candidate -> candidate.used() == least)
                        .toList();
                return best.isEmpty()
                        ? null
                        : best.get(random.nextInt(best.size())).server();
            }

            @Override
            public void granted(String server) {
                // The counts of slots in use carry all that is needed.
            }
        };
    }

    /** The servers in turn. */
    static ServerOrder roundRobin() {
        return new ServerOrder() {
            private String last = "";

            @Override
            public @Nullable String choose(List<Candidate> candidates) {
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
