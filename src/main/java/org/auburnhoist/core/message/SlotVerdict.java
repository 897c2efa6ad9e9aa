package org.auburnhoist.core.message;

/** Decisions of a dispatcher about a slot request. */
public enum SlotVerdict {
    /** A slot of a server is granted. */
    GRANTED,
    /** The deadline cannot be met. */
    OVERLOADED,
    /** The request is refused because it has crashed servers before. */
    QUARANTINED,
    /** The answering host does not know the service. */
    UNKNOWN_SERVICE
}
