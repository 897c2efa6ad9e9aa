package org.auburnhoist.core.dispatch;

/**
 * What a dispatcher found out about a server that did not answer a request in time.
 *
 * @param server the server's ID
 * @param silent whether it fell silent, which counts against the requests that it had
 * @param reason what showed that it is silent, slow or on a cut path
 * @param requests number of requests without an answer
 */
public record ServerSilence(String server, boolean silent, String reason, int requests) {}
