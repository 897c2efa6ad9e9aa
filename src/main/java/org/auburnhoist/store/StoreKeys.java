package org.auburnhoist.store;

/** Names of the keys that the fleet uses. */
public final class StoreKeys {
    /** Prefix of the two current documents, which are read together. */
    public static final String CURRENT = "/auburnhoist/current/";

    /** Head of the applied configuration. */
    public static final String CONFIGURATION = CURRENT + "configuration";

    /** Roster of hosts and shard owners. */
    public static final String ROSTER = CURRENT + "roster";

    /** Prefix of configuration chunks, each under its SHA-256. */
    public static final String CHUNKS = "/auburnhoist/chunks/";

    private StoreKeys() {}
}
