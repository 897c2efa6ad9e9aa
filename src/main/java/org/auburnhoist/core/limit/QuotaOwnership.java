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
 * Tracks the teams about whose limits this host decides.
 *
 * <p>The preferred owner of a team is the first host in its rendezvous order. It becomes the active owner, the one that
 * decides, once no other host decides any more. A new preferred owner requests a takeover from the host that is next in
 * the order, which was the owner until the new one joined. A leaving owner hands its teams over to the next host.
 * Without either, a new owner waits until every host in contact has learned of the change. Not thread-safe.
 */
public final class QuotaOwnership {
    /** A team that was handed over is kept until the members are read again, which takes at most 2 seconds. */
    private static final long HANDOVER_VALIDITY_NANOS = 5_000_000_000L;
    /** A takeover request that was not answered is repeated after this time. */
    private static final long TAKEOVER_RETRY_NANOS = 500_000_000L;

    private final FleetView fleet;
    private final String selfName;
    private final TeamQuotas quotas;
    private final LongPredicate membershipValid;
    private final long startNanos;
    private final Map<String, Long> handoverValidUntil = new HashMap<>();
    private final Map<String, String> handedOverTo = new HashMap<>();
    private final Map<String, Long> takeoverRequestedAt = new HashMap<>();
    private boolean resuming;
    private Set<String> memberNames = Set.of();
    private Set<String> leavingNames = Set.of();

    /**
     * Creates the ownership state of a host that has just started.
     *
     * @param fleet the members
     * @param selfName this host's name
     * @param quotas the teams' token buckets
     * @param membershipValid whether this host's membership is certain at a given time
     * @param startNanos when this process started; no earlier process with this name grants any token after that
     */
    public QuotaOwnership(
            FleetView fleet, String selfName, TeamQuotas quotas, LongPredicate membershipValid, long startNanos) {
        this.fleet = fleet;
        this.selfName = selfName;
        this.quotas = quotas;
        this.membershipValid = membershipValid;
        this.startNanos = startNanos;
    }

    /**
     * Records that an earlier process with this host's name was a member until this process started, and owned the same
     * teams.
     */
    public void resumeOwnership() {
        resuming = true;
    }

    /** Checks whether hosts have joined, left or started to leave; a new process with a known name changes nothing. */
    public void membersChanged(long nowNanos) {
        Set<String> newNames = new HashSet<>();
        Set<String> newLeavingNames = new HashSet<>();
        for (FleetMember member : fleet.members()) {
            newNames.add(member.id().name());
            if (member.leaving()) {
                newLeavingNames.add(member.id().name());
            }
        }
        if (newNames.equals(memberNames) && newLeavingNames.equals(leavingNames)) {
            return;
        }
        memberNames = newNames;
        leavingNames = newLeavingNames;
        handedOverTo.keySet().removeIf(this::isPreferredOwner);
        quotas.membersChanged(
                team -> isPreferredOwner(team) || hasValidHandover(team, nowNanos),
                resuming ? startNanos : nowNanos + TeamQuotas.TAKEOVER_WAIT_NANOS);
        resuming = false;
    }

    /** Returns whether this host decides about a team now. */
    public boolean isActiveOwner(String team, long nowNanos) {
        boolean owned = hasValidHandover(team, nowNanos) || (isPreferredOwner(team) && !handedOverTo.containsKey(team));
        return owned && membershipValid.test(nowNanos) && quotas.hasFormerOwnerStopped(team, nowNanos);
    }

    /** Returns the host that this host believes to own a team's bucket, or null without members. */
    public @Nullable FleetMember preferredOwner(String team) {
        List<FleetMember> candidates = preferenceList(team);
        return candidates.isEmpty() ? null : candidates.get(0);
    }

    /** Returns the peer address of the host to which this host has handed over a team, or an empty string. */
    public String handedOverTo(String team) {
        return handedOverTo.getOrDefault(team, "");
    }

    /** Returns the host to request a takeover from if that is due, or null, and records the request as sent. */
    public @Nullable FleetMember startTakeoverIfDue(String team, long nowNanos) {
        List<FleetMember> candidates = preferenceList(team);
        Long lastRequest = takeoverRequestedAt.get(team);
        if (candidates.size() < 2
                || !isPreferredOwner(team)
                || handedOverTo.containsKey(team)
                || !membershipValid.test(nowNanos)
                || quotas.hasFormerOwnerStopped(team, nowNanos)
                || (lastRequest != null && nowNanos - lastRequest < TAKEOVER_RETRY_NANOS)) {
            return null;
        }
        takeoverRequestedAt.put(team, nowNanos);
        return candidates.get(1);
    }

    /** Records that the former owner accepted a takeover and has granted nothing since {@code stoppedNanos}. */
    public void onTakeoverAccepted(String team, long stoppedNanos) {
        if (isPreferredOwner(team)) {
            quotas.markFormerOwnerStopped(team, stoppedNanos);
        }
    }

    /**
     * Handles the request of another host to take over a team.
     *
     * @return whether this host was the active owner and has stopped, so that no other host decides
     */
    public boolean acceptTakeover(String team, String address, long nowNanos) {
        if (!isActiveOwner(team, nowNanos)) {
            return false;
        }
        recordHandover(team, address);
        return true;
    }

    /**
     * Hands over the teams about which this host decides, each to the next host that is alive.
     *
     * @return the next owner by team, which has to be told that this host has stopped
     */
    public Map<String, FleetMember> handOverAll(Iterable<String> teams, long nowNanos) {
        Map<String, FleetMember> successors = new HashMap<>();
        for (String team : teams) {
            if (isActiveOwner(team, nowNanos)) {
                for (FleetMember member : preferenceList(team)) {
                    String name = member.id().name();
                    if (!name.equals(selfName) && fleet.isAlive(name, nowNanos)) {
                        successors.put(team, member);
                        recordHandover(team, member.peerAddress());
                        break;
                    }
                }
            }
        }
        return successors;
    }

    /** Records that a leaving owner has handed over a team to this host. */
    public void acceptHandover(String team, long nowNanos) {
        handoverValidUntil.put(team, nowNanos + HANDOVER_VALIDITY_NANOS);
        quotas.markFormerOwnerStopped(team, nowNanos);
    }

    private void recordHandover(String team, String address) {
        handedOverTo.put(team, address);
        handoverValidUntil.remove(team);
        quotas.releaseTeam(team);
    }

    private boolean hasValidHandover(String team, long nowNanos) {
        Long validUntil = handoverValidUntil.get(team);
        return validUntil != null && validUntil - nowNanos > 0;
    }

    /** Returns whether this host is the preferred owner of a team, whichever host decides about it at the moment. */
    public boolean isPreferredOwner(String team) {
        FleetMember first = preferredOwner(team);
        return first != null && first.id().name().equals(selfName);
    }

    private List<FleetMember> preferenceList(String team) {
        return fleet.order(TeamShares.placementKey(team));
    }
}
