package org.auburnhoist.core.message;

/**
 * Asks the owner of a team's bucket for tokens.
 *
 * @param team the team's name
 * @param bucket 0 or 1
 * @param wanted number of tokens, at least 1
 */
public record TokenRequest(String team, int bucket, int wanted) implements Message {}
