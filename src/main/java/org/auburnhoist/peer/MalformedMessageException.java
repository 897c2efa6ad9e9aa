package org.auburnhoist.peer;

/** Bytes from a peer that are not a message of this protocol. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
