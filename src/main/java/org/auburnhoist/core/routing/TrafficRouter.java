package org.auburnhoist.core.routing;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.auburnhoist.core.configuration.Sha256;
import org.jspecify.annotations.Nullable;

/**
 * Looks up the route and the team of a request in one configuration. Immutable.
 *
 * <pre>{@code
 * TrafficRouter router = TrafficRouter.of(configuration);
 * TrafficRoute route = router.route("lookups.example", "/stars/12");
 * }</pre>
 */
public final class TrafficRouter {
    private final TrafficConfiguration configuration;
    private final Map<String, Map<String, TrafficRoute>> routesByHostAndPrefix = new HashMap<>();

    private TrafficRouter(TrafficConfiguration configuration) {
        this.configuration = configuration;
        for (TrafficRoute route : configuration.routes()) {
            routesByHostAndPrefix
                    .computeIfAbsent(route.hostName(), name -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /** Builds the index of a configuration's routes. */
    public static TrafficRouter of(TrafficConfiguration configuration) {
        return new TrafficRouter(configuration);
    }

    /** Returns the configuration that this router was built from. */
    public TrafficConfiguration configuration() {
        return configuration;
    }

    /**
     * Returns the route of the host name with the longest prefix that matches the path.
     *
     * @param hostHeader value of the {@code Host} header, with or without a port
     * @param path path without the query
     * @return the route, or null if none matches
     */
    public @Nullable TrafficRoute route(String hostHeader, String path) {
        Map<String, TrafficRoute> byPrefix = routesByHostAndPrefix.get(hostName(hostHeader));
        if (byPrefix == null) {
            return null;
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            TrafficRoute route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    /** Returns the name of the team to which a key belongs, or null if the key is not valid. */
    public @Nullable String teamOfKey(String key) {
        return configuration.teamsByKeyDigest().get(Sha256.hex(key));
    }

    /** Returns the policy of a team, or null if the team is not known. */
    public @Nullable TeamPolicy team(String name) {
        return configuration.teams().get(name);
    }

    private static String hostName(String hostHeader) {
        int colon = hostHeader.lastIndexOf(':');
        String name = colon < 0 ? hostHeader : hostHeader.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
