package org.auburnhoist.core.message;

/** How one attempt on an upstream server ended. */
public enum AttemptOutcome {
    /** A complete answer with a status below 500. */
    SUCCESS,
    /** A complete answer with a status of 500 or above other than shed load. */
    SERVER_ERROR,
    /** The server shed the request (429 or 503 with Retry-After). */
    SHED,
    /** The connection could not be opened; nothing was sent. */
    CONNECT_FAILED,
    /** The connection broke while the request was in flight. */
    CONNECTION_LOST,
    /** No answer within the deadline. */
    TIMEOUT,
    /** The answer ended before its framing said so. */
    TRUNCATED,
    /** The caller left, or the grant was not used; says nothing about the server. */
    ABANDONED,
    /** The server stated that it did not run the request. */
    REJECTED,
    /** Another server has taken over the address; it did not run the request. */
    MISDIRECTED,
    /** Not sent, because the server had asked for no further requests since it was chosen. */
    WITHHELD
}
