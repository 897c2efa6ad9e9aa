package org.auburnhoist.core.message;

/**
 * Asks an operation's home for the exclusive right to run the operation.
 *
 * @param operationId the operation
 * @param team the caller's team
 * @param fingerprint hash of the request, used to detect an id that is reused for a different request
 * @param attempt number that the requesting host uses for one run only; a claim that is repeated with the same number
 *     after a lost answer gets the same grant
 */
public record ClaimRequest(String operationId, String team, long fingerprint, long attempt) implements Message {}
