package org.auburnhoist.core.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.auburnhoist.core.HostId;

/**
 * Proposes the removal of dead members and the advance of the settled version.
 *
 * <p>The live member of lowest rank proposes first, and only while a quorum keeps it fresh. It may be unable to reach
 * the store, which the others cannot see, so each further member proposes the same one turn later. Compare-and-swap
 * decides between members that propose at once.
 */
public final class RosterProposer {
    /** Time between the turns of two members of neighbouring rank: several attempts to write to the store. */
    private static final Duration TURN = Duration.ofSeconds(1);

    /** All members of higher rank share the last turn, so that every removal is proposed within a bounded time. */
    private static final int LAST_TURN = 8;

    private final MembershipSettings settings;

    /** Uses the given limits. */
    public RosterProposer(MembershipSettings settings) {
        this.settings = settings;
    }

    /** Returns the change that this host should write to the store now. */
    public Optional<RosterProposal> propose(FreshnessTable table, long nowNanos) {
        int position = liveMembers(table, nowNanos).indexOf(table.self());
        if (position < 0 || !table.isFreshByMembers(nowNanos)) {
            return Optional.empty();
        }
        Duration patience = TURN.multipliedBy(Math.min(position, LAST_TURN));
        Roster roster = table.roster();
        Set<HostId> dead = membersToRemove(table, settings.deadAfter().plus(patience), nowNanos);
        long settled = Math.min(table.settledRosterVersion(), roster.version());
        boolean advances = roster.hasChangesUpTo(settled) && hasBeenSettled(table, settled, patience, nowNanos);
        if (dead.isEmpty() && !advances) {
            return Optional.empty();
        }
        // Each step raises the version, so a removal that also settles skips one number.
        Roster settledNext = advances ? roster.settle(settled, table.configurationVersion()) : roster;
        Roster next = dead.isEmpty() ? settledNext : settledNext.remove(dead);
        return Optional.of(new RosterProposal(roster.version(), next, dead));
    }

    private List<HostId> liveMembers(FreshnessTable table, long nowNanos) {
        return table.roster().members().stream()
                .map(Member::id)
                .filter(id -> table.isLive(id, settings.deadAfter(), nowNanos))
                .toList();
    }

    private static boolean hasBeenSettled(FreshnessTable table, long version, Duration patience, long nowNanos) {
        OptionalLong settledAt = table.rosterSettledAtNanos(version);
        return settledAt.isPresent() && nowNanos - settledAt.getAsLong() >= patience.toNanos();
    }

    private static Set<HostId> membersToRemove(FreshnessTable table, Duration limit, long nowNanos) {
        Roster roster = table.roster();
        int minority = (roster.members().size() - 1) / 2;
        Set<HostId> dead = roster.members().stream()
                .map(Member::id)
                .filter(id -> !table.isLive(id, limit, nowNanos))
                .sorted(Comparator.comparing(id ->
                        table.memberAge(id, nowNanos).map(age -> -age.toNanos()).orElse(Long.MIN_VALUE)))
                .limit(minority)
                .collect(Collectors.toSet());
        return !dead.isEmpty() && roster.canRemove(dead) ? dead : Set.of();
    }
}
