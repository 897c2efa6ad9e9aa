package org.auburnhoist.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Everything that decides where a request goes and for whom it counts, applied as a whole.
 *
 * @param version grows with each change
 * @param routes all routes
 * @param services names of all services
 * @param teams teams by name
 * @param teamsByKeyDigest team names by the SHA-256 of each valid key in hexadecimal
 */
public record TrafficConfiguration(
        long version,
        List<TrafficRoute> routes,
        Set<String> services,
        Map<String, TeamPolicy> teams,
        Map<String, String> teamsByKeyDigest) {
    /** The configuration of a host that has none yet. */
    public static final TrafficConfiguration NONE =
            new TrafficConfiguration(0, List.of(), Set.of(), Map.of(), Map.of());

    /** Copies the collections. */
    public TrafficConfiguration {
        routes = List.copyOf(routes);
        services = Set.copyOf(services);
        teams = Map.copyOf(teams);
        teamsByKeyDigest = Map.copyOf(teamsByKeyDigest);
    }

    /** Whether requests need a key, except on open routes. */
    public boolean hasTeams() {
        return !teams.isEmpty();
    }
}
