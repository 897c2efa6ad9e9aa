package org.auburnhoist.proxy;

/** Stage of a request that is forwarded to upstream servers. */
enum ForwardingState {
    /** The body is being read, up to the bytes that are read ahead. */
    COLLECTING_BODY,
    /** The request waits for a server. */
    CHOOSING,
    /** A server has been chosen, and its response has not begun. */
    ATTEMPTING,
    /** A server's response is being passed on. */
    RESPONDING,
    /** The response has ended, or the caller is gone. */
    DONE;

    /** Whether no attempt is running yet. */
    boolean isBeforeAttempt() {
        return this == COLLECTING_BODY || this == CHOOSING;
    }
}
