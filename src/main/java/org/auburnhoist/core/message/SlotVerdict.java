package org.auburnhoist.core.message;

/** Answers of a dispatcher. */
public enum SlotVerdict {
    /** A server is assigned. */
    GRANTED,
    /** The deadline cannot be met. */
    OVERLOADED,
    /** The request is refused because it crashed servers before. */
    QUARANTINED,
    /** The answering host does not know the service. */
    UNKNOWN_SERVICE
}
