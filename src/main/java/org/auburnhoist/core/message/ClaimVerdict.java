package org.auburnhoist.core.message;

/** Answers of an operation's home to a claim. */
public enum ClaimVerdict {
    /** The asking host alone may run the operation. */
    GRANTED,
    /** Another host is running it. */
    RUNNING,
    /** It has run; the recorded answer is attached. */
    DONE,
    /** It may have run; the outcome is not known. */
    UNKNOWN,
    /** The id was used for a different request or by a different team. */
    MISMATCH,
    /** The id is older than the operation lifetime. */
    EXPIRED,
    /** The answering host is not the operation's home. */
    NOT_HOME
}
