package org.auburnhoist.core.configuration;

import org.auburnhoist.core.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * Authorises requests by path, method and key. Immutable; created once for each configuration version.
 *
 * <pre>{@code
 * AccessPolicy policy = AccessPolicy.of(configuration);
 * AccessDecision decision = policy.decide(head.method(), head.path(), head.header("Authorization"));
 * }</pre>
 */
public final class AccessPolicy {
    private final RouteTable routes;
    private final KeyRing keys;

    private AccessPolicy(RouteTable routes, KeyRing keys) {
        this.routes = routes;
        this.keys = keys;
    }

    /** Creates the policy of a configuration. */
    public static AccessPolicy of(FleetConfiguration configuration) {
        return new AccessPolicy(
                RouteTable.of(configuration.routes()),
                KeyRing.of(configuration.keys().values()));
    }

    /**
     * Authorises a request.
     *
     * @param method HTTP method in upper case
     * @param rawPath path as received, without the query
     * @param authorization value of the {@code Authorization} header, or null
     */
    public AccessDecision decide(String method, String rawPath, @Nullable String authorization) {
        RouteMatch match = routes.match(method, rawPath);
        if (match instanceof RouteMatch.Found found) {
            return found.route().open()
                    ? new AccessDecision.AllowedAnonymously(found.route(), found.path())
                    : decide(found, keys.check(authorization));
        }
        if (match instanceof RouteMatch.Reserved reserved) {
            return new AccessDecision.Reserved(reserved.path(), keys.check(authorization));
        }
        if (match instanceof RouteMatch.Malformed malformed) {
            return refused(Refusal.MALFORMED_REQUEST, malformed.reason());
        }
        return refused(Refusal.ROUTE_UNKNOWN, "no route is declared for this method and path");
    }

    private static AccessDecision decide(RouteMatch.Found found, KeyCheck check) {
        if (check instanceof KeyCheck.Accepted accepted) {
            Route route = found.route();
            boolean allowed = route.teams().isEmpty() || route.teams().contains(accepted.team());
            return allowed
                    ? new AccessDecision.AllowedForTeam(route, found.path(), accepted.team(), accepted.keyId())
                    : refused(
                            Refusal.TEAM_NOT_ALLOWED,
                            "team " + accepted.team() + " may not use the route " + route.name());
        }
        if (check instanceof KeyCheck.Withdrawn withdrawn) {
            return refused(Refusal.KEY_WITHDRAWN, "the key " + withdrawn.keyId() + " is withdrawn");
        }
        if (check instanceof KeyCheck.Missing) {
            return refused(Refusal.KEY_MISSING, "the route needs a key, sent as Authorization: Bearer");
        }
        return refused(Refusal.KEY_UNKNOWN, "the key is not known");
    }

    private static AccessDecision refused(Refusal refusal, String detail) {
        return new AccessDecision.Refused(refusal, detail);
    }
}
