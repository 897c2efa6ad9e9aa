package org.auburnhoist.core.routing;

import java.util.List;
import org.auburnhoist.core.TrafficClass;

/**
 * A route selected by host name and path prefix.
 *
 * @param name the route's name
 * @param hostName value of the {@code Host} header without the port, in lower case
 * @param pathPrefix path prefix, which begins and ends with a slash
 * @param trafficClass class of the requests, which determines whether they may be retried
 * @param timeoutMillis maximum time until the final answer, or 0 for no limit
 * @param targetLatencyMillis latency up to which an answer has its full value, or 0 if not declared
 * @param priority priority of the requests, where 0 is the highest
 * @param services services among which the requests are split in proportion to their weights
 * @param maximumAttempts maximum number of servers to which one request may be sent, at least 1
 * @param open whether requests are accepted without a key
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
    /** Makes an immutable copy of the list. */
    public TrafficRoute {
        services = List.copyOf(services);
    }
}
