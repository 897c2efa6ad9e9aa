package org.auburnhoist.load;

import java.util.List;
import java.util.Map;

/**
 * The result of a simulated run.
 *
 * @param teams counts by team name
 * @param ejections ejections in chronological order
 * @param crashes how often the poison request crashed a server
 * @param copiesAtFirstCrash copies of the poison request in progress at the first crash
 * @param poisonRefusals how often the poison request was refused as quarantined
 * @param falseQuarantines how often another request was refused as quarantined
 */
public record DispatchResult(
        Map<String, TeamCount> teams,
        List<Ejection> ejections,
        int crashes,
        int copiesAtFirstCrash,
        int poisonRefusals,
        int falseQuarantines) {

    /** Makes defensive copies of the collections. */
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
        /** Returns the share of the offered requests that were answered successfully. */
        public double goodput() {
            return offered == 0 ? 1 : (double) answered / offered;
        }
    }

    /**
     * An ejection.
     *
     * @param server the server's name
     * @param seconds simulated time of the ejection
     */
    public record Ejection(String server, double seconds) {}
}
