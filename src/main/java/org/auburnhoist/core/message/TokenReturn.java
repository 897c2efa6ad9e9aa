package org.auburnhoist.core.message;

/**
 * Returns unused tokens to the bucket's owner.
 *
 * @param team the team's name
 * @param bucket 0 or 1
 * @param count number of tokens
 */
public record TokenReturn(String team, int bucket, int count) implements Message {}
