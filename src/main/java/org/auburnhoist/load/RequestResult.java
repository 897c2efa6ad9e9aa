package org.auburnhoist.load;

/**
 * How a request ended, after all of its attempts.
 *
 * @param ending kind of end
 * @param refusal code of the last refusal, or an empty text
 * @param waited whether the caller waited for a {@code Retry-After}
 */
public record RequestResult(Ending ending, String refusal, boolean waited) {
    /** Kinds of end. */
    public enum Ending {
        /** A whole answer of its own, with a status of success. */
        GOOD,
        /** The fleet refused. */
        REFUSED,
        /** An upstream's answer with a status of failure. */
        UPSTREAM_ERROR,
        /** No answer after all attempts. */
        NO_ANSWER,
        /** An answer presented as whole that was not. */
        INCOMPLETE,
        /** The answer to another request. */
        CROSSED
    }

    static RequestResult of(Ending ending, boolean waited) {
        return new RequestResult(ending, "", waited);
    }
}
