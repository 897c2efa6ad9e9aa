package org.auburnhoist.core.configuration;

import org.auburnhoist.core.Refusal;

/** Whether a request may run, and for whom. */
public sealed interface AccessDecision {
    /**
     * The request may run for the team whose key came with it.
     *
     * @param route the route
     * @param path the path in normal form, to be forwarded
     * @param team the team
     * @param keyId public part of the key, for the record
     */
    record AllowedForTeam(Route route, String path, String team, String keyId) implements AccessDecision {}

    /**
     * The route is open to all; a key that came along is not examined.
     *
     * @param route the route
     * @param path the path in normal form, to be forwarded
     */
    record AllowedAnonymously(Route route, String path) implements AccessDecision {}

    /**
     * The fleet answers itself.
     *
     * @param path the path in normal form
     * @param key the result of checking the key that came along
     */
    record Reserved(String path, KeyCheck key) implements AccessDecision {}

    /**
     * The request must not run.
     *
     * @param refusal the reason
     * @param detail one sentence for the answer's body; never contains the key
     */
    record Refused(Refusal refusal, String detail) implements AccessDecision {}
}
