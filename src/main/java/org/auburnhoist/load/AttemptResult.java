package org.auburnhoist.load;

/** Result of one attempt of a caller. */
public enum AttemptResult {
    /** The answer of an upstream arrived, with any status. */
    ANSWERED,
    /** The fleet refused the request. */
    REFUSED,
    /** No connection to the host was established. */
    UNREACHED,
    /** The request was sent, but no complete answer arrived. */
    CUT
}
