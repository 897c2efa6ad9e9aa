package org.auburnhoist.core.message;

/**
 * A leaving host has stopped granting a team's tokens; the receiver, which is next in order, decides from now on.
 *
 * @param team the team's name
 */
public record QuotaHandoverRequest(String team) implements Message {}
