package org.auburnhoist.peer;

/** Thrown when bytes from a peer are not a valid frame or message of this protocol. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
