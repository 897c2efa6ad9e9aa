package org.auburnhoist.core;

/** Kind of requests that a route carries; the rules for retries and slots depend on it. */
public enum TrafficClass {
    /** Idempotent query; may be retried on another server. */
    LOOKUP,
    /** Non-idempotent change; runs at most once. */
    BOOKING,
    /** Idempotent transfer of a large response; must arrive complete. */
    DOWNLOAD;

    /** Whether a request of this class may be run again. */
    public boolean isIdempotent() {
        return this != BOOKING;
    }
}
