package org.auburnhoist.core.dispatch;

import java.util.random.RandomGenerator;

/**
 * A server that may receive a request, with the properties by which it is compared.
 *
 * @param rank its suitability
 * @param distance 0 in the data centre of the requesting host, 1 in another one
 * @param connected whether the requesting host has an idle connection to it
 * @param used number of its slots in use
 * @param nanosSinceConfirmed time since its health was last confirmed
 * @param nanosSinceFailure time since it last failed
 */
record ServerCandidate(
        ServerRank rank, int distance, boolean connected, int used, long nanosSinceConfirmed, long nanosSinceFailure) {
    boolean isBetterThan(ServerCandidate best, RandomGenerator random) {
        if (rank != best.rank) {
            return rank.compareTo(best.rank) < 0;
        }
        // The longer ago a server failed, the more likely its failure episode is over.
        if (rank.isProbe() && nanosSinceFailure != best.nanosSinceFailure) {
            return nanosSinceFailure > best.nanosSinceFailure;
        }
        if (distance != best.distance) {
            return distance < best.distance;
        }
        // A new connection costs a round trip and may occupy a slot of the server.
        if (connected != best.connected) {
            return connected;
        }
        // Filling one server after the other limits the servers in use, and with them the failure episodes encountered.
        if (rank == ServerRank.CONFIRMED && used != best.used) {
            return used > best.used;
        }
        if (nanosSinceConfirmed != best.nanosSinceConfirmed) {
            return nanosSinceConfirmed < best.nanosSinceConfirmed;
        }
        return random.nextBoolean();
    }
}
