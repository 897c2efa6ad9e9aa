package org.auburnhoist.load;

import java.util.List;
import java.util.Map;

/**
 * What a simulated run showed.
 *
 * @param teams counts by team name
 * @param ejections ejections in order of time
 * @param crashes how often the poisonous request crashed a server
 * @param copiesAtFirstCrash copies of the poisonous request in progress at its first crash
 * @param poisonRefusals how often the poisonous request was refused as quarantined
 * @param falseQuarantines how often another request was refused as quarantined
 */
public record DispatchResult(
        Map<String, TeamCount> teams,
        List<Ejection> ejections,
        int crashes,
        int copiesAtFirstCrash,
        int poisonRefusals,
        int falseQuarantines) {

    /** Copies the collections. */
    public DispatchResult {
        teams = Map.copyOf(teams);
        ejections = List.copyOf(ejections);
    }

    /**
     * Counts of one team.
     *
     * @param offered requests sent
     * @param answered requests answered successfully
     * @param refused requests refused
     */
    public record TeamCount(int offered, int answered, int refused) {
        /** Share of the offered requests that were answered successfully. */
        public double goodput() {
            return offered == 0 ? 1 : (double) answered / offered;
        }
    }

    /**
     * An ejection.
     *
     * @param server the server's name
     * @param seconds when it happened
     */
    public record Ejection(String server, double seconds) {}
}
