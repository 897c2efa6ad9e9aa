package org.auburnhoist.load;

/**
 * Result of a request after all of its attempts.
 *
 * @param ending how the request ended
 * @param refusal code of the last refusal, or an empty string
 * @param waited whether the caller waited for a {@code Retry-After}
 */
public record RequestResult(Ending ending, String refusal, boolean waited) {
    /** The ways in which a request can end. */
    public enum Ending {
        /** A complete answer to this request, with a success status. */
        GOOD,
        /** The fleet refused the request. */
        REFUSED,
        /** An answer of an upstream with a status other than success. */
        UPSTREAM_ERROR,
        /** No answer after all attempts. */
        NO_ANSWER,
        /** An answer framed as complete that was not. */
        INCOMPLETE,
        /** The answer to another request. */
        CROSSED
    }

    static RequestResult of(Ending ending, boolean waited) {
        return new RequestResult(ending, "", waited);
    }
}
