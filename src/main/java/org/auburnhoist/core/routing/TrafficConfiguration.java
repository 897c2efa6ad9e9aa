package org.auburnhoist.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Routes, services, teams and keys, which determine where a request is sent and which team it is attributed to. A new
 * version replaces the earlier one as a whole.
 *
 * @param version version number, which increases with each change
 * @param routes all routes
 * @param services names of all services
 * @param teams teams by name
 * @param teamsByKeyDigest team names by the SHA-256 digest of each valid key, in hexadecimal
 */
public record TrafficConfiguration(
        long version,
        List<TrafficRoute> routes,
        Set<String> services,
        Map<String, TeamPolicy> teams,
        Map<String, String> teamsByKeyDigest) {
    /** The empty configuration of a host that has not received one yet. */
    public static final TrafficConfiguration NONE =
            new TrafficConfiguration(0, List.of(), Set.of(), Map.of(), Map.of());

    /** Makes immutable copies of the collections. */
    public TrafficConfiguration {
        routes = List.copyOf(routes);
        services = Set.copyOf(services);
        teams = Map.copyOf(teams);
        teamsByKeyDigest = Map.copyOf(teamsByKeyDigest);
    }

    /** Returns whether requests need a key, except on open routes. */
    public boolean hasTeams() {
        return !teams.isEmpty();
    }
}
