package org.auburnhoist.core.message;

/**
 * Asks a member for the versions of its documents and the ages of its information.
 *
 * @param rosterVersion roster version that the requesting host has
 * @param configurationVersion configuration version that the requesting host has
 */
public record PullRequest(long rosterVersion, long configurationVersion) implements Message {}
