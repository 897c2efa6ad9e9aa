package org.auburnhoist.core.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the route of a request in time proportional to the length of its path, whatever the number of routes.
 *
 * <p>Only the longest declared prefix is considered. If its routes do not accept the method, matching does not fall
 * back to a shorter prefix, whose routes may allow other callers.
 *
 * <pre>{@code
 * RouteTable table = RouteTable.of(configuration.routes());
 * if (table.match("GET", "/telescopes/12") instanceof RouteMatch.Found found) {
 *     forward(found.route(), found.path());
 * }
 * }</pre>
 */
public final class RouteTable {
    /** Paths at and below this one are answered by the fleet itself; no route may be declared there. */
    public static final String RESERVED = "/.auburnhoist";

    private final Node root = new Node();

    private RouteTable(List<Route> routes) {
        for (Route route : routes) {
            add(route);
        }
    }

    /** Creates a table of routes whose paths are normalised and do not overlap. */
    public static RouteTable of(List<Route> routes) {
        return new RouteTable(routes);
    }

    /**
     * Finds the route of a request.
     *
     * @param method HTTP method in upper case
     * @param rawPath path as received, without the query
     */
    public RouteMatch match(String method, String rawPath) {
        return RequestPath.normalise(rawPath).fold(RouteMatch.Malformed::new, path -> matchNormal(method, path));
    }

    private RouteMatch matchNormal(String method, String path) {
        if (isReserved(path)) {
            return new RouteMatch.Reserved(path);
        }
        Route route = longestPrefix(path).get(method);
        return route == null ? new RouteMatch.Unknown() : new RouteMatch.Found(route, path);
    }

    /** Whether requests for a normalised path are answered by the fleet itself. */
    static boolean isReserved(String path) {
        return path.equals(RESERVED) || path.startsWith(RESERVED + "/");
    }

    private Map<String, Route> longestPrefix(String path) {
        Map<String, Route> longest = root.routes;
        Node node = root;
        int start = 1;
        while (start <= path.length()) {
            int end = endOfSegment(path, start);
            Node child = node.children.get(path.substring(start, end));
            if (child == null) {
                return longest;
            }
            node = child;
            if (!node.routes.isEmpty()) {
                longest = node.routes;
            }
            start = end + 1;
        }
        return longest;
    }

    private void add(Route route) {
        Node node = root;
        String path = route.pathPrefix();
        int start = 1;
        while (start < path.length()) {
            int end = endOfSegment(path, start);
            node = node.children.computeIfAbsent(path.substring(start, end), segment -> new Node());
            start = end + 1;
        }
        for (String method : route.methods()) {
            Route earlier = node.routes.put(method, route);
            if (earlier != null) {
                throw new IllegalArgumentException("routes: expected routes that do not overlap, got " + earlier.name()
                        + " and " + route.name() + " for " + method + " " + path);
            }
        }
    }

    private static int endOfSegment(String path, int start) {
        int slash = path.indexOf('/', start);
        return slash < 0 ? path.length() : slash;
    }

    /** A node of the prefix tree, which represents one segment of the declared paths. */
    private static final class Node {
        private final Map<String, Node> children = new HashMap<>(2);
        private final Map<String, Route> routes = new HashMap<>(2);
    }
}
