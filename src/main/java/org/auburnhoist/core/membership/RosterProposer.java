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
 * Proposes roster changes that remove dead members or advance the settled version.
 *
 * <p>The live member of lowest rank proposes first, and only while a quorum keeps it fresh. It may be unable to reach
 * the store, which the others cannot detect, so each member of the next higher rank makes the same proposal one delay
 * later. Compare-and-swap resolves conflicts between members that propose at the same time.
 */
public final class RosterProposer {
    /** Delay between members of adjacent rank, long enough for several attempts to write to the store. */
    private static final Duration DELAY_PER_RANK = Duration.ofSeconds(1);

    /** Members of this rank and above share the maximum delay, so every removal is proposed within a bounded time. */
    private static final int MAX_DELAYED_RANKS = 8;

    private final MembershipSettings settings;

    /** Creates a proposer with the given settings. */
    public RosterProposer(MembershipSettings settings) {
        this.settings = settings;
    }

    /** Returns the roster change that this host should write to the store now, if any. */
    public Optional<RosterProposal> propose(FreshnessTable table, long nowNanos) {
        int position = liveMembers(table, nowNanos).indexOf(table.self());
        if (position < 0 || !table.isFreshByMembers(nowNanos)) {
            return Optional.empty();
        }
        Duration delay = DELAY_PER_RANK.multipliedBy(Math.min(position, MAX_DELAYED_RANKS));
        Roster roster = table.roster();
        Set<HostId> dead = membersToRemove(table, settings.deadAfter().plus(delay), nowNanos);
        long settled = Math.min(table.settledRosterVersion(), roster.version());
        boolean advances = roster.hasChangesUpTo(settled) && hasBeenSettledFor(table, settled, delay, nowNanos);
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

    private static boolean hasBeenSettledFor(FreshnessTable table, long version, Duration delay, long nowNanos) {
        OptionalLong settledAt = table.rosterSettledAtNanos(version);
        return settledAt.isPresent() && nowNanos - settledAt.getAsLong() >= delay.toNanos();
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
