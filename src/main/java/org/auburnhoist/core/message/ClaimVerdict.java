package org.auburnhoist.core.message;

/** Answers of an operation's home to a claim. */
public enum ClaimVerdict {
    /** Only the requesting host may run the operation. */
    GRANTED,
    /** Another host is running the operation. */
    RUNNING,
    /** The operation has run; the recorded answer is attached. */
    DONE,
    /** The operation may have run; its outcome is unknown. */
    UNKNOWN,
    /** The id was used for a different request or by a different team. */
    MISMATCH,
    /** The id is older than the operation lifetime. */
    EXPIRED,
    /** The answering host is not the operation's home. */
    NOT_HOME
}
