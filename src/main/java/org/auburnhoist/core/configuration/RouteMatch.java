package org.auburnhoist.core.configuration;

/** What a {@link RouteTable} says about a request. */
public sealed interface RouteMatch {
    /**
     * A route accepts the request.
     *
     * @param route the route
     * @param path the path in normal form; forward this one, so that the upstream sees what was matched
     */
    record Found(Route route, String path) implements RouteMatch {}

    /**
     * The path is at or below {@link RouteTable#RESERVED}; the fleet answers itself.
     *
     * @param path the path in normal form
     */
    record Reserved(String path) implements RouteMatch {}

    /** No route is declared for the path, or the route declared for it does not accept the method. */
    record Unknown() implements RouteMatch {}

    /**
     * The path is ambiguous.
     *
     * @param reason one clause for the answer's body
     */
    record Malformed(String reason) implements RouteMatch {}
}
