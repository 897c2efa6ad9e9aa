package org.auburnhoist.core.configuration;

/** The result of matching a request against a {@link RouteTable}. */
public sealed interface RouteMatch {
    /**
     * A route accepts the request.
     *
     * @param route the route
     * @param path the normalised path; forward this one, so that the upstream gets the path that was matched
     */
    record Found(Route route, String path) implements RouteMatch {}

    /**
     * The path is at or below {@link RouteTable#RESERVED}; the fleet answers the request itself.
     *
     * @param path the normalised path
     */
    record Reserved(String path) implements RouteMatch {}

    /** No route is declared for the path, or the route declared for it does not accept the method. */
    record Unknown() implements RouteMatch {}

    /**
     * The path is malformed or ambiguous.
     *
     * @param reason one clause for the response body
     */
    record Malformed(String reason) implements RouteMatch {}
}
