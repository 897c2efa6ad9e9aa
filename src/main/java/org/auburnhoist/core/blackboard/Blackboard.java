package org.auburnhoist.core.blackboard;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.Roster;
import org.jspecify.annotations.Nullable;

/**
 * The control state of a host; used by one thread.
 *
 * <p>Controllers write what they learn and read what others wrote, so that none calls another. After each change
 * {@link #snapshot} gives the state that traffic threads may use.
 */
public final class Blackboard {
    private final HostId self;
    private final MembershipSettings settings;
    private ActiveConfiguration activeConfiguration = ActiveConfiguration.NONE;
    private @Nullable FreshnessTable freshness;
    private boolean wasMember;
    private boolean stopping;

    /** Starts without roster and configuration. */
    public Blackboard(HostId self, MembershipSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** This host. */
    public HostId self() {
        return self;
    }

    /** Time limits of membership. */
    public MembershipSettings settings() {
        return settings;
    }

    /** The configuration in force. */
    public ActiveConfiguration activeConfiguration() {
        return activeConfiguration;
    }

    /** Knowledge of the other members, null before the first roster is known. */
    public @Nullable FreshnessTable freshness() {
        return freshness;
    }

    /** The newest roster, null before the first one is known. */
    public @Nullable Roster roster() {
        FreshnessTable table = freshness;
        return table == null ? null : table.roster();
    }

    /** Puts a newer configuration in force; an older one is ignored. */
    public void adopt(ActiveConfiguration newer, long nowNanos) {
        if (newer.version() <= activeConfiguration.version()) {
            return;
        }
        activeConfiguration = newer;
        FreshnessTable table = freshness;
        if (table != null) {
            table.adoptConfiguration(newer.version(), nowNanos);
        }
    }

    /**
     * Adopts a newer roster; an older one is ignored.
     *
     * @return false if a newer configuration must be adopted first
     */
    public boolean adopt(Roster newer, long nowNanos) {
        FreshnessTable table = freshness;
        if (table == null) {
            if (newer.configurationVersion() > activeConfiguration.version()) {
                return false;
            }
            freshness = new FreshnessTable(self, settings, newer, activeConfiguration.version(), nowNanos);
        } else if (!table.adoptRoster(newer, nowNanos)) {
            return false;
        }
        wasMember |= isMember();
        return true;
    }

    /** Whether this host is in the newest roster. */
    public boolean isMember() {
        Roster roster = roster();
        return roster != null && roster.member(self).isPresent();
    }

    /** Whether this host was a member and has been removed; it must start again with a new incarnation. */
    public boolean isRemoved() {
        return wasMember && !isMember();
    }

    /** Whether this host is marked as leaving in the newest roster. */
    public boolean isMarkedLeaving() {
        Roster roster = roster();
        return roster != null
                && roster.member(self)
                        .filter(member -> member.state() == MemberState.LEAVING)
                        .isPresent();
    }

    /** Whether this host's knowledge is recent enough to decide. */
    public boolean isFresh(long nowNanos) {
        FreshnessTable table = freshness;
        return table != null && table.isFresh(nowNanos);
    }

    /** Records that a planned stop has begun. */
    public void markStopping() {
        stopping = true;
    }

    /** Whether a planned stop has begun. */
    public boolean isStopping() {
        return stopping;
    }

    /** The state that traffic threads may use. */
    public BlackboardSnapshot snapshot(long nowNanos) {
        FreshnessTable table = freshness;
        long freshUntil = table == null ? nowNanos - 1 : table.freshUntilNanos();
        return new BlackboardSnapshot(self, activeConfiguration, roster(), freshUntil, stopping);
    }
}
