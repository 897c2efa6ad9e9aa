package org.auburnhoist.store;

/** Names of the keys that the fleet uses. */
public final class StoreKeys {
    /** Prefix of the two current documents, which are read together. */
    public static final String CURRENT_PREFIX = "/auburnhoist/current/";

    /** Head of the applied configuration. */
    public static final String CONFIGURATION = CURRENT_PREFIX + "configuration";

    /** Roster of hosts and shard owners. */
    public static final String ROSTER = CURRENT_PREFIX + "roster";

    /** Prefix of configuration chunks, each under its SHA-256. */
    public static final String CHUNK_PREFIX = "/auburnhoist/chunks/";

    private StoreKeys() {}
}
