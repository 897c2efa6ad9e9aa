package org.auburnhoist.core.message;

/** How a granted claim ended. */
public enum ClaimResult {
    /** Nothing was sent to any upstream; the operation may be claimed again. */
    NOT_RUN,
    /** An upstream answered. */
    ANSWERED,
    /** It may have run, but no complete answer came. */
    UNKNOWN
}
