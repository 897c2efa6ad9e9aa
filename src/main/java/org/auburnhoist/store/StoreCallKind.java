package org.auburnhoist.store;

/** Kinds of calls to the store, each of which counts against the platform's rate limits. */
public enum StoreCallKind {
    /** A read of one key or a range. */
    READ,
    /** A conditional write or delete. */
    WRITE,
    /** A grant or a renewal of a lease. */
    LEASE,
    /** The start of a watch; a waiting watch counts as one call. */
    WATCH
}
