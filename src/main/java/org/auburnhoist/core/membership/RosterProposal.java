package org.auburnhoist.core.membership;

import java.util.Set;
import org.auburnhoist.core.HostId;

/**
 * A change of the roster, to be written by compare-and-swap.
 *
 * @param expectedVersion roster version on which the change is based; the write must fail if the store holds another
 * @param next roster to write
 * @param removed members that the change removes, empty if it only advances the settled version
 */
public record RosterProposal(long expectedVersion, Roster next, Set<HostId> removed) {
    /** Copies the set. */
    public RosterProposal {
        removed = Set.copyOf(removed);
    }
}
