package org.auburnhoist.core.message;

/**
 * Reports that a leaving host has stopped granting a team's tokens. The receiver, which is next in order, grants them
 * from now on.
 *
 * @param team the team's name
 */
public record QuotaHandoverRequest(String team) implements Message {}
