package org.auburnhoist.core.message;

/**
 * What a server's answer says about the rate of requests that the server accepts from all hosts together.
 *
 * @param kind whether the answer names a limit
 * @param requestsPerSecond the limit, greater than 0; 0 unless the kind is {@link Kind#LIMITED}
 */
public record StatedLimit(Kind kind, double requestsPerSecond) {
    /** An answer that says nothing about a limit, because it is malformed or cannot be attributed to the server. */
    public static final StatedLimit UNKNOWN = new StatedLimit(Kind.UNKNOWN, 0);

    /** An answer that names no limit, and so withdraws an earlier one. */
    public static final StatedLimit UNLIMITED = new StatedLimit(Kind.UNLIMITED, 0);

    /** Whether an answer names a limit. */
    public enum Kind {
        /** The answer says nothing. */
        UNKNOWN,
        /** The answer is the server's and names no limit. */
        UNLIMITED,
        /** The answer names a limit. */
        LIMITED
    }

    /** Checks that a limit is named with a positive, finite rate. */
    public StatedLimit {
        boolean valid = kind == Kind.LIMITED
                ? requestsPerSecond > 0 && Double.isFinite(requestsPerSecond)
                : requestsPerSecond == 0;
        if (!valid) {
            throw new IllegalArgumentException(
                    "requests per second: expected a positive, finite number if limited, else" + " 0, got "
                            + requestsPerSecond + " with " + kind);
        }
    }

    /**
     * Creates a limit.
     *
     * @param requestsPerSecond the limit, greater than 0
     */
    public static StatedLimit of(double requestsPerSecond) {
        return new StatedLimit(Kind.LIMITED, requestsPerSecond);
    }

    /** Whether a limit is named. */
    public boolean isLimited() {
        return kind == Kind.LIMITED;
    }

    /** Whether this limit allows fewer requests than another; no limit allows the most. */
    public boolean isStricterThan(StatedLimit other) {
        return isLimited() && (!other.isLimited() || requestsPerSecond < other.requestsPerSecond);
    }

    @Override
    public String toString() {
        return isLimited() ? Double.toString(requestsPerSecond) : kind == Kind.UNLIMITED ? "none" : "unknown";
    }
}
