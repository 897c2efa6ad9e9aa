package org.auburnhoist.core.configuration;

import org.auburnhoist.core.Refusal;

/** The result of authorising a request: whether it may run, and for which team. */
public sealed interface AccessDecision {
    /**
     * The request may run for the team whose key it carries.
     *
     * @param route the route
     * @param path the normalised path, to be forwarded
     * @param team the team
     * @param keyId public part of the key, for the access log
     */
    record AllowedForTeam(Route route, String path, String team, String keyId) implements AccessDecision {}

    /**
     * The route needs no key; a key sent with the request is not checked.
     *
     * @param route the route
     * @param path the normalised path, to be forwarded
     */
    record AllowedAnonymously(Route route, String path) implements AccessDecision {}

    /**
     * The path is reserved; the fleet answers the request itself.
     *
     * @param path the normalised path
     * @param key the result of checking the key of the request
     */
    record Reserved(String path, KeyCheck key) implements AccessDecision {}

    /**
     * The request must not run.
     *
     * @param refusal the reason
     * @param detail one sentence for the response body; never contains the key
     */
    record Refused(Refusal refusal, String detail) implements AccessDecision {}
}
