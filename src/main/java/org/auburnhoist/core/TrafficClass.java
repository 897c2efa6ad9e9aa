package org.auburnhoist.core;

/** Kind of work that a route carries; it decides about retries and slots. */
public enum TrafficClass {
    /** Idempotent query; may be retried on another server. */
    LOOKUP,
    /** Non-idempotent change; runs at most once. */
    BOOKING,
    /** Idempotent transfer of a large answer; must arrive whole. */
    DOWNLOAD;

    /** Whether a request of this class may be run again. */
    public boolean isIdempotent() {
        return this != BOOKING;
    }
}
