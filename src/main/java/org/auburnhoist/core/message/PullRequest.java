package org.auburnhoist.core.message;

/**
 * Asks a member for its documents' versions and its ages.
 *
 * @param rosterVersion version that the asking host has
 * @param configurationVersion version that the asking host has
 */
public record PullRequest(long rosterVersion, long configurationVersion) implements Message {}
