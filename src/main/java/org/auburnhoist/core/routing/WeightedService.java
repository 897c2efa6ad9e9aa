package org.auburnhoist.core.routing;

/**
 * One of the services among which a route splits its requests.
 *
 * @param service the service's name
 * @param weight share of the requests relative to the other weights of the route, at least 0
 */
public record WeightedService(String service, int weight) {}
