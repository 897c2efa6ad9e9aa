package org.auburnhoist.core.blackboard;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.Roster;
import org.jspecify.annotations.Nullable;

/**
 * An immutable copy of the control state for the traffic threads.
 *
 * @param self the id of this host
 * @param activeConfiguration the configuration in force
 * @param roster the newest roster, or null before the first one is known
 * @param freshUntilNanos time after which this snapshot is too stale to make decisions
 * @param stopping whether a planned stop has begun
 */
public record BlackboardSnapshot(
        HostId self,
        ActiveConfiguration activeConfiguration,
        @Nullable Roster roster,
        long freshUntilNanos,
        boolean stopping) {

    /** Returns whether this host may decide on requests that need a key, a token or an operation claim. */
    public boolean isFresh(long nowNanos) {
        return activeConfiguration.version() > 0 && nowNanos - freshUntilNanos <= 0;
    }

    /** Returns whether this host is in the roster. */
    public boolean isMember() {
        return roster != null && roster.member(self).isPresent();
    }
}
