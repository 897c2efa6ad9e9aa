package org.auburnhoist.core.routing;

import java.util.List;
import org.auburnhoist.core.TrafficClass;

/**
 * A route selected by host name and path prefix.
 *
 * @param name the route's name
 * @param hostName value of the {@code Host} header without a port, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param trafficClass what may be repeated
 * @param timeoutMillis longest time until the final answer, 0 without a limit
 * @param targetLatencyMillis time within which an answer has its full use, 0 if not stated
 * @param priority rank of the requests, 0 is the highest
 * @param services where the requests go, in proportion to the weights
 * @param maximumAttempts most servers to which one request may be sent, at least 1
 * @param open whether no key is needed
 */
public record TrafficRoute(
        String name,
        String hostName,
        String pathPrefix,
        TrafficClass trafficClass,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<WeightedService> services,
        int maximumAttempts,
        boolean open) {
    /** Copies the list. */
    public TrafficRoute {
        services = List.copyOf(services);
    }
}
