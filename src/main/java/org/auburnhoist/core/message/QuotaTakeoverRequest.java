package org.auburnhoist.core.message;

/**
 * A host to which a team's limit has fallen asks the earlier owner to stop granting tokens, so that it need not wait
 * until the earlier owner must have learned of the change.
 *
 * @param team the team's name
 * @param newOwnerAddress peer address of the host that sends this and decides once the claim is accepted
 */
public record QuotaTakeoverRequest(String team, String newOwnerAddress) implements Message {}
