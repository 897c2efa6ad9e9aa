package org.auburnhoist.core.blackboard;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.Roster;
import org.jspecify.annotations.Nullable;

/**
 * What traffic threads may know of the control state, at one moment.
 *
 * @param self this host
 * @param activeConfiguration configuration in force
 * @param roster newest roster, null before the first one is known
 * @param freshUntilNanos time after which this host must not decide by this view
 * @param stopping whether a planned stop has begun
 */
public record BlackboardSnapshot(
        HostId self,
        ActiveConfiguration activeConfiguration,
        @Nullable Roster roster,
        long freshUntilNanos,
        boolean stopping) {

    /** Whether this host may decide about requests that need a key, a token or an operation claim. */
    public boolean isFresh(long nowNanos) {
        return activeConfiguration.version() > 0 && nowNanos - freshUntilNanos <= 0;
    }

    /** Whether this host is in the roster. */
    public boolean isMember() {
        return roster != null && roster.member(self).isPresent();
    }
}
