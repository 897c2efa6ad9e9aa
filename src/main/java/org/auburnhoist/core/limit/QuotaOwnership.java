package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.jspecify.annotations.Nullable;

/**
 * Knows for which teams this host decides: those for which it is first in order, once no other host decides any more.
 *
 * <p>A new owner claims a team from the host that is next in order, which was the owner until the new one joined. A
 * leaving owner offers its teams to the next one. Without either, a new owner waits until every host in contact has
 * learned of the change. Not thread-safe.
 */
public final class QuotaOwnership {
    /** An offered team is kept until members are read anew, which takes two seconds at most. */
    private static final long OFFERED_NANOS = 5_000_000_000L;
    /** A claim that was not answered is repeated after this time. */
    private static final long CLAIM_INTERVAL_NANOS = 500_000_000L;

    private final FleetView fleet;
    private final String selfName;
    private final TeamQuotas quotas;
    private final LongPredicate mayOwn;
    private final long startNanos;
    private final Map<String, Long> offeredUntil = new HashMap<>();
    private final Map<String, String> handedOverTo = new HashMap<>();
    private final Map<String, Long> claimedAt = new HashMap<>();
    private boolean resumes;
    private Set<String> names = Set.of();
    private Set<String> leaving = Set.of();

    /**
     * Ownership of a host that has just started.
     *
     * @param fleet the members
     * @param selfName this host's name
     * @param quotas the teams' buckets
     * @param mayOwn whether this host's membership is certain at a time
     * @param startNanos when this process began; no earlier process under its name grants anything after that
     */
    public QuotaOwnership(FleetView fleet, String selfName, TeamQuotas quotas, LongPredicate mayOwn, long startNanos) {
        this.fleet = fleet;
        this.selfName = selfName;
        this.quotas = quotas;
        this.mayOwn = mayOwn;
        this.startNanos = startNanos;
    }

    /** An earlier process under this host's name was a member until this one started, and owned the same teams. */
    public void resumeOwnership() {
        resumes = true;
    }

    /** Looks whether hosts have joined, left or begun to leave; a new process under a known name changes nothing. */
    public void membersChanged(long nowNanos) {
        Set<String> presentNames = new HashSet<>();
        Set<String> presentLeaving = new HashSet<>();
        for (FleetMember member : fleet.members()) {
            presentNames.add(member.id().name());
            if (member.leaving()) {
                presentLeaving.add(member.id().name());
            }
        }
        if (presentNames.equals(names) && presentLeaving.equals(leaving)) {
            return;
        }
        names = presentNames;
        leaving = presentLeaving;
        handedOverTo.keySet().removeIf(this::isPreferredOwner);
        quotas.membersChanged(
                team -> isPreferredOwner(team) || isOffered(team, nowNanos),
                resumes ? startNanos : nowNanos + TeamQuotas.TAKEOVER_NANOS);
        resumes = false;
    }

    /** Whether this host decides about a team now. */
    public boolean isActiveOwner(String team, long nowNanos) {
        boolean mine = isOffered(team, nowNanos) || (isPreferredOwner(team) && !handedOverTo.containsKey(team));
        return mine && mayOwn.test(nowNanos) && quotas.hasFormerOwnerStopped(team, nowNanos);
    }

    /** The host that this host believes to own a team's bucket. */
    public @Nullable FleetMember preferredOwner(String team) {
        List<FleetMember> order = order(team);
        return order.isEmpty() ? null : order.get(0);
    }

    /** Peer address of the host to which this host has given a team, or an empty text. */
    public String handedOverTo(String team) {
        return handedOverTo.getOrDefault(team, "");
    }

    /** The host to send a claim to if one is due, or null; a claim counts as sent. */
    public @Nullable FleetMember startTakeoverIfDue(String team, long nowNanos) {
        List<FleetMember> order = order(team);
        Long earlier = claimedAt.get(team);
        if (order.size() < 2
                || !isPreferredOwner(team)
                || handedOverTo.containsKey(team)
                || !mayOwn.test(nowNanos)
                || quotas.hasFormerOwnerStopped(team, nowNanos)
                || (earlier != null && nowNanos - earlier < CLAIM_INTERVAL_NANOS)) {
            return null;
        }
        claimedAt.put(team, nowNanos);
        return order.get(1);
    }

    /** The earlier owner has accepted a claim: it grants nothing since {@code endedNanos}. */
    public void onTakeoverAccepted(String team, long endedNanos) {
        if (isPreferredOwner(team)) {
            quotas.markFormerOwnerStopped(team, endedNanos);
        }
    }

    /**
     * Another host claims a team.
     *
     * @return whether this host has decided until now and has stopped, so that nobody else decides
     */
    public boolean acceptTakeover(String team, String address, long nowNanos) {
        if (!isActiveOwner(team, nowNanos)) {
            return false;
        }
        given(team, address);
        return true;
    }

    /** The next owner of each team for which this host decides, to be told that this host has stopped; by team. */
    public Map<String, FleetMember> handOverAll(Iterable<String> teams, long nowNanos) {
        Map<String, FleetMember> successors = new HashMap<>();
        for (String team : teams) {
            if (isActiveOwner(team, nowNanos)) {
                for (FleetMember member : order(team)) {
                    String name = member.id().name();
                    if (!name.equals(selfName) && fleet.isAlive(name, nowNanos)) {
                        successors.put(team, member);
                        given(team, member.peerAddress());
                        break;
                    }
                }
            }
        }
        return successors;
    }

    /** A leaving owner has handed over a team. */
    public void acceptHandover(String team, long nowNanos) {
        offeredUntil.put(team, nowNanos + OFFERED_NANOS);
        quotas.markFormerOwnerStopped(team, nowNanos);
    }

    private void given(String team, String address) {
        handedOverTo.put(team, address);
        offeredUntil.remove(team);
        quotas.releaseTeam(team);
    }

    private boolean isOffered(String team, long nowNanos) {
        Long until = offeredUntil.get(team);
        return until != null && until - nowNanos > 0;
    }

    /** Whether a team's limit falls to this host by the order, whoever decides about it at the moment. */
    public boolean isPreferredOwner(String team) {
        FleetMember first = preferredOwner(team);
        return first != null && first.id().name().equals(selfName);
    }

    private List<FleetMember> order(String team) {
        return fleet.order(TeamShares.placementKey(team));
    }
}
