package org.auburnhoist.core.message;

/** Outcome of a granted claim. */
public enum ClaimResult {
    /** Nothing was sent to any upstream; the operation may be claimed again. */
    NOT_RUN,
    /** An upstream answered. */
    ANSWERED,
    /** The operation may have run, but no complete answer was received. */
    UNKNOWN
}
