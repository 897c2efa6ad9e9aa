package org.auburnhoist.core.message;

/** Outcome of one attempt at an upstream server. */
public enum AttemptOutcome {
    /** A complete answer with a status below 500. */
    SUCCESS,
    /** A complete answer with a status of 500 or above, other than one that sheds load. */
    SERVER_ERROR,
    /** The server shed the request to reduce its load (429 or 503 with Retry-After). */
    SHED,
    /** The connection could not be opened; nothing was sent. */
    CONNECT_FAILED,
    /** The connection broke while the request was in flight. */
    CONNECTION_LOST,
    /** No answer within the deadline. */
    TIMEOUT,
    /** The answer ended before the end given by its framing. */
    TRUNCATED,
    /** The caller disconnected, or the grant was not used; carries no information about the server. */
    ABANDONED,
    /** The server reported that it did not execute the request. */
    REJECTED,
    /** The address now belongs to another server, which did not execute the request. */
    MISDIRECTED,
    /** Not sent, because after being selected the server asked to receive no further requests. */
    WITHHELD
}
