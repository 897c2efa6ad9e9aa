package org.auburnhoist.core.configuration;

/** The result of checking the key of a request against a {@link KeyRing}. */
public sealed interface KeyCheck {
    /**
     * The key is valid.
     *
     * @param team name of the team that the key authenticates
     * @param keyId public part of the key, for the access log
     */
    record Accepted(String team, String keyId) implements KeyCheck {}

    /** The request has no key. */
    record Missing() implements KeyCheck {}

    /** The id is unknown, the secret is wrong or the header is malformed; callers cannot distinguish these cases. */
    record Unknown() implements KeyCheck {}

    /**
     * The key has been revoked, and the secret is correct.
     *
     * @param team name of the team that the key authenticated
     * @param keyId public part of the key, for the access log
     */
    record Withdrawn(String team, String keyId) implements KeyCheck {}
}
