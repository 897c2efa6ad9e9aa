package org.auburnhoist.core.blackboard;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.Roster;
import org.jspecify.annotations.Nullable;

/**
 * The mutable control state of a host, shared by its controllers (blackboard pattern). Not thread-safe; used by the
 * control thread only.
 *
 * <p>Controllers write what they learn and read what others wrote, so that none calls another directly. After each
 * change, {@link #snapshot} returns an immutable copy for the traffic threads.
 */
public final class Blackboard {
    private final HostId self;
    private final MembershipSettings settings;
    private ActiveConfiguration activeConfiguration = ActiveConfiguration.NONE;
    private @Nullable FreshnessTable freshness;
    private boolean wasMember;
    private boolean stopping;

    /** Creates the state of a host that has neither a roster nor a configuration yet. */
    public Blackboard(HostId self, MembershipSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Returns the id of this host. */
    public HostId self() {
        return self;
    }

    /** Returns the time limits of the membership protocol. */
    public MembershipSettings settings() {
        return settings;
    }

    /** Returns the configuration in force. */
    public ActiveConfiguration activeConfiguration() {
        return activeConfiguration;
    }

    /** Returns how recent the information from the other members is, or null before the first roster is known. */
    public @Nullable FreshnessTable freshness() {
        return freshness;
    }

    /** Returns the newest roster, or null before the first one is known. */
    public @Nullable Roster roster() {
        FreshnessTable table = freshness;
        return table == null ? null : table.roster();
    }

    /** Puts a configuration in force if it is newer than the current one. */
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
     * Adopts a roster if it is newer than the current one.
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

    /** Returns whether this host is in the newest roster. */
    public boolean isMember() {
        Roster roster = roster();
        return roster != null && roster.member(self).isPresent();
    }

    /** Returns whether this host was a member and has been removed; it must restart as a new incarnation. */
    public boolean isRemoved() {
        return wasMember && !isMember();
    }

    /** Returns whether the newest roster marks this host as leaving. */
    public boolean isMarkedLeaving() {
        Roster roster = roster();
        return roster != null
                && roster.member(self)
                        .filter(member -> member.state() == MemberState.LEAVING)
                        .isPresent();
    }

    /** Returns whether this host's information is within the staleness limit, so that it may make decisions. */
    public boolean isFresh(long nowNanos) {
        FreshnessTable table = freshness;
        return table != null && table.isFresh(nowNanos);
    }

    /** Records that a planned stop has begun. */
    public void markStopping() {
        stopping = true;
    }

    /** Returns whether a planned stop has begun. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns an immutable copy of the state for the traffic threads. */
    public BlackboardSnapshot snapshot(long nowNanos) {
        FreshnessTable table = freshness;
        long freshUntil = table == null ? nowNanos - 1 : table.freshUntilNanos();
        return new BlackboardSnapshot(self, activeConfiguration, roster(), freshUntil, stopping);
    }
}
