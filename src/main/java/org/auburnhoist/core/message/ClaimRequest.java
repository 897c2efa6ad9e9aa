package org.auburnhoist.core.message;

/**
 * Asks an operation's home for the right to run it.
 *
 * @param operationId the operation
 * @param team the caller's team
 * @param fingerprint hash of the request, so that an id is not used for two different requests
 * @param attempt number that the asking host uses for one run only; a request repeated with the same number after a
 *     lost answer gets the same grant
 */
public record ClaimRequest(String operationId, String team, long fingerprint, long attempt) implements Message {}
