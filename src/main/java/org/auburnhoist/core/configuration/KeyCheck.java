package org.auburnhoist.core.configuration;

/** What a {@link KeyRing} says about the key of a request. */
public sealed interface KeyCheck {
    /**
     * The key is valid.
     *
     * @param team name of the team that it speaks for
     * @param keyId public part of the key, for the record
     */
    record Accepted(String team, String keyId) implements KeyCheck {}

    /** The request brought no key. */
    record Missing() implements KeyCheck {}

    /** No such key, another secret or another form; these cases cannot be told apart. */
    record Unknown() implements KeyCheck {}

    /**
     * The key was valid once, and the secret is right.
     *
     * @param team name of the team that it spoke for
     * @param keyId public part of the key, for the record
     */
    record Withdrawn(String team, String keyId) implements KeyCheck {}
}
