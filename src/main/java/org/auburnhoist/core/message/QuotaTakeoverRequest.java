package org.auburnhoist.core.message;

/**
 * Asks the former owner of a team's limit to stop granting tokens. The new owner can then start at once, instead of
 * waiting until the former owner must have learned of the change.
 *
 * @param team the team's name
 * @param newOwnerAddress peer address of the sending host, which grants tokens once the request is accepted
 */
public record QuotaTakeoverRequest(String team, String newOwnerAddress) implements Message {}
