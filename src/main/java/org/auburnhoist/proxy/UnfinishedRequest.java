package org.auburnhoist.proxy;

/**
 * A caller's request whose response is not complete.
 *
 * @param requestId the request's ID in the log
 * @param path its path, without the query
 * @param ageMillis milliseconds since its head was read
 * @param sent whether any byte of it was written to a server
 */
public record UnfinishedRequest(String requestId, String path, long ageMillis, boolean sent) {}
