package org.auburnhoist.proxy;

/**
 * A caller's request whose response is not complete.
 *
 * @param requestId the request's ID in the log
 * @param path its path, without the query
 * @param ageMillis milliseconds since its head was read
 * @param wholeMillis milliseconds since the end of its body was read, or {@link #NOT_WHOLE}
 * @param sent whether any byte of it was written to a server
 */
public record UnfinishedRequest(String requestId, String path, long ageMillis, long wholeMillis, boolean sent) {
    /** Value of {@link #wholeMillis} for a request whose body has not ended. */
    public static final long NOT_WHOLE = -1;
}
