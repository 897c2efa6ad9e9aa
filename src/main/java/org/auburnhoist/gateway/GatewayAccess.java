package org.auburnhoist.gateway;

import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.routing.TeamPolicy;
import org.auburnhoist.core.routing.TrafficRoute;
import org.auburnhoist.core.routing.TrafficRouter;
import org.jspecify.annotations.Nullable;

/** What a configuration says about a request: its route and team, or why it must not run. */
sealed interface GatewayAccess {
    /**
     * The request may run.
     *
     * @param route its route
     * @param team the team that holds its key, null if the route needs no key
     */
    record Allowed(TrafficRoute route, @Nullable TeamPolicy team) implements GatewayAccess {
        /** The name of the team, empty if none. */
        String teamName() {
            return team == null ? "" : team.name();
        }
    }

    /**
     * The request must not run.
     *
     * @param refusal the reason
     * @param detail one sentence for the response's body; never contains the key
     */
    record Denied(Refusal refusal, String detail) implements GatewayAccess {}

    /** Decides about a request by the configuration of a router. */
    static GatewayAccess decide(TrafficRouter router, PlatformBinding.RequestMetadata metadata, String path) {
        TrafficRoute route = router.route(metadata.hostName(), path);
        if (route == null) {
            return new Denied(Refusal.ROUTE_UNKNOWN, "no route matches");
        }
        if (route.open() || !router.configuration().hasTeams()) {
            return new Allowed(route, null);
        }
        String key = metadata.key();
        if (key == null) {
            return new Denied(Refusal.KEY_MISSING, "the route needs a key");
        }
        String name = router.teamOfKey(key);
        TeamPolicy team = name == null ? null : router.team(name);
        return team == null ? new Denied(Refusal.KEY_UNKNOWN, "no team holds this key") : new Allowed(route, team);
    }
}
