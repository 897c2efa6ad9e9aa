package org.auburnhoist.core.configuration;

import java.util.List;
import java.util.Map;

/**
 * Everything that the applied files declare, as one immutable value.
 *
 * @param version version of the configuration's head, which increases with each accepted change
 * @param teams teams by name
 * @param keys keys by id
 * @param services services by name
 * @param routes all routes
 */
public record FleetConfiguration(
        long version,
        Map<String, Team> teams,
        Map<String, Key> keys,
        Map<String, Service> services,
        List<Route> routes) {

    /** Copies the collections. */
    public FleetConfiguration {
        teams = Map.copyOf(teams);
        keys = Map.copyOf(keys);
        services = Map.copyOf(services);
        routes = List.copyOf(routes);
    }
}
