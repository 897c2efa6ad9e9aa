package org.auburnhoist.core.configuration;

import java.time.Duration;
import java.util.Set;
import org.auburnhoist.core.TrafficClass;

/**
 * Maps requests to a service.
 *
 * @param name unique name
 * @param methods HTTP methods that the route accepts, in upper case
 * @param pathPrefix path or path prefix ending at a segment boundary; the longest matching prefix wins
 * @param service name of the service that runs the requests
 * @param trafficClass traffic class of the requests
 * @param open whether requests need no key
 * @param teams names of the teams that may use the route; empty means every team
 * @param timeout maximum time from the arrival of a request to the first byte of its response
 */
public record Route(
        String name,
        Set<String> methods,
        String pathPrefix,
        String service,
        TrafficClass trafficClass,
        boolean open,
        Set<String> teams,
        Duration timeout) {

    /** Copies the sets. */
    public Route {
        methods = Set.copyOf(methods);
        teams = Set.copyOf(teams);
    }
}
