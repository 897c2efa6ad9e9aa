package org.auburnhoist.core.membership;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.auburnhoist.core.HostId;

/**
 * Proposes the removal of dead members and the advance of the settled version.
 *
 * <p>Only the live member of lowest rank proposes, and only while a quorum keeps it fresh. Two hosts may both believe
 * that they have the lowest rank; compare-and-swap decides between them.
 */
public final class Steward {
    private final MembershipSettings settings;

    /** Uses the given limits. */
    public Steward(MembershipSettings settings) {
        this.settings = settings;
    }

    /** Returns the change that this host should write to the store now. */
    public Optional<RosterProposal> propose(FreshnessTable table, long nowNanos) {
        if (!table.isFreshByMembers(nowNanos) || !isLowestLive(table, nowNanos)) {
            return Optional.empty();
        }
        Roster roster = table.roster();
        Set<HostId> dead = membersToRemove(table, nowNanos);
        long settled = Math.min(table.settledRosterVersion(), roster.version());
        boolean advances = roster.hasChangesUpTo(settled);
        if (dead.isEmpty() && !advances) {
            return Optional.empty();
        }
        // Both steps are written as one version.
        Roster settledNext = advances ? roster.settle(settled, table.configurationVersion()) : roster;
        Roster next = dead.isEmpty() ? settledNext : settledNext.remove(dead);
        return Optional.of(new RosterProposal(roster.version(), next, dead));
    }

    /** Whether this host is the live member of lowest rank as far as it knows. */
    public boolean isLowestLive(FreshnessTable table, long nowNanos) {
        return table.roster().members().stream()
                .map(Member::id)
                .filter(id -> table.isLive(id, settings.deadAfter(), nowNanos))
                .findFirst()
                .filter(table.self()::equals)
                .isPresent();
    }

    private Set<HostId> membersToRemove(FreshnessTable table, long nowNanos) {
        Roster roster = table.roster();
        int minority = (roster.members().size() - 1) / 2;
        Set<HostId> dead = roster.members().stream()
                .map(Member::id)
                .filter(id -> !table.isLive(id, settings.deadAfter(), nowNanos))
                .sorted(Comparator.comparing(id ->
                        table.memberAge(id, nowNanos).map(age -> -age.toNanos()).orElse(Long.MIN_VALUE)))
                .limit(minority)
                .collect(Collectors.toSet());
        return roster.canRemove(dead) ? dead : Set.of();
    }
}
