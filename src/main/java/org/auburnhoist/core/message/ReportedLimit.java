package org.auburnhoist.core.message;

/**
 * A limit that a server has named to the requesting host.
 *
 * @param server the server's ID
 * @param serverStartedMillis when the server's incarnation started, as it states
 * @param requestsPerSecond the limit, greater than 0
 * @param ageMillis time since the host received the answer that names it
 */
public record ReportedLimit(String server, long serverStartedMillis, double requestsPerSecond, long ageMillis) {
    /** Checks the limit. */
    public ReportedLimit {
        StatedLimit.of(requestsPerSecond);
    }

    /** The limit. */
    public StatedLimit limit() {
        return StatedLimit.of(requestsPerSecond);
    }
}
