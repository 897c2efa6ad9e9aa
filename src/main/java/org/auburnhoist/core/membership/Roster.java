package org.auburnhoist.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.auburnhoist.core.HostId;

/**
 * The members of the fleet and the owners of the shards, as one immutable value.
 *
 * <p>Members are sorted by rank: by the version at which they joined, then by name. A version is settled (committed)
 * once a quorum has acknowledged it.
 *
 * <pre>{@code
 * Roster first = Roster.bootstrap(member, Roster.SHARDS);
 * Roster second = first.join(other);
 * boolean quorum = second.hasQuorum(id -> answered.contains(id));
 * }</pre>
 *
 * @param version number that increases by one with each change
 * @param settledVersion newest version that the writer knew to be settled
 * @param configurationVersion configuration that a host must hold before it adopts this roster; see {@link #settle}
 * @param members current members
 * @param removed members removed after {@code settledVersion}
 * @param shards owners by shard number
 */
public record Roster(
        long version,
        long settledVersion,
        long configurationVersion,
        List<Member> members,
        List<RemovedMember> removed,
        List<Shard> shards) {
    /** Number of shards in a new fleet. */
    public static final int DEFAULT_SHARD_COUNT = 64;

    private static final Comparator<Member> BY_RANK =
            Comparator.comparingLong(Member::joinedVersion).thenComparing(Member::id);

    /** Copies the lists and sorts the members by rank. */
    public Roster {
        members = members.stream().sorted(BY_RANK).toList();
        removed = List.copyOf(removed);
        shards = List.copyOf(shards);
    }

    /** Returns the first roster of a fleet; its only member owns all shards, and their buckets start full. */
    public static Roster bootstrap(Member first, int shardCount) {
        List<Shard> shards = new ArrayList<>();
        for (int shard = 0; shard < shardCount; shard++) {
            shards.add(Shard.withoutHandover(first.id(), 0));
        }
        return new Roster(1, 1, 0, List.of(first.withJoinedVersion(1)), List.of(), shards);
    }

    /** Returns the roster with one more member; of a host that is already a member, only the addresses change. */
    public Roster join(Member joining) {
        long joined = member(joining.id()).map(Member::joinedVersion).orElse(version + 1);
        List<Member> next = new ArrayList<>(members);
        next.removeIf(member -> member.id().equals(joining.id()));
        next.add(joining.withJoinedVersion(joined));
        return withMembers(next, removed);
    }

    /** Returns the roster in which the host accepts no new callers and owns no shard that another host can own. */
    public Roster markLeaving(HostId leaving) {
        List<Member> next = members.stream()
                .map(member -> member.id().equals(leaving) ? member.withState(MemberState.LEAVING) : member)
                .toList();
        return withMembers(next, removed);
    }

    /**
     * Returns the roster without the given hosts. Their shards get new owners, which expect no handover.
     *
     * @throws IllegalArgumentException if no member would remain
     */
    public Roster remove(Set<HostId> leaving) {
        List<Member> next = new ArrayList<>();
        List<RemovedMember> nextRemoved = new ArrayList<>(removed);
        for (Member member : members) {
            if (leaving.contains(member.id())) {
                nextRemoved.add(new RemovedMember(member.id(), member.joinedVersion(), version + 1));
            } else {
                next.add(member);
            }
        }
        if (next.isEmpty()) {
            throw new IllegalArgumentException("removing " + leaving + " would leave no member");
        }
        return withMembers(next, nextRemoved);
    }

    /**
     * Whether the members that would remain still form a quorum. Removing more members would make it impossible to
     * settle any later version.
     */
    public boolean canRemove(Set<HostId> leaving) {
        return hasQuorum(id -> member(id).isPresent() && !leaving.contains(id));
    }

    /**
     * Returns the roster that records a version as settled.
     *
     * @param settled version known to be settled
     * @param configuration configuration version that the caller holds. A quorum that acknowledged a configuration
     *     under rosters before {@code settled} need not intersect the quorums of later rosters, so a host must hold
     *     this configuration before it counts quorums by the new roster.
     */
    public Roster settle(long settled, long configuration) {
        if (settled > version) {
            throw new IllegalArgumentException("settled version " + settled + " exceeds version " + version);
        }
        long newSettled = Math.max(settled, settledVersion);
        List<RemovedMember> kept = removed.stream()
                .filter(former -> former.removedVersion() > newSettled)
                .toList();
        long newConfiguration = Math.max(configuration, configurationVersion);
        return new Roster(version + 1, newSettled, newConfiguration, members, kept, shards);
    }

    /**
     * Returns a roster of the given members only, which counts as settled without a quorum. Intended for an operator
     * after the loss of a majority: the caller asserts that no host outside {@code survivors} is still running.
     */
    public Roster rebuild(Collection<Member> survivors) {
        long next = version + 1;
        List<Member> joined =
                survivors.stream().map(member -> member.withJoinedVersion(next)).toList();
        List<Shard> moved = ShardAssignment.assign(shards, joined, next).stream()
                .map(shard -> Shard.withoutHandover(shard.owner(), next))
                .toList();
        return new Roster(next, next, configurationVersion, joined, List.of(), moved);
    }

    /** Returns the member with this name and incarnation. */
    public Optional<Member> member(HostId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /** Returns the rank of the member, starting at 0, or -1 if the host is not a member. */
    public int rank(HostId id) {
        for (int index = 0; index < members.size(); index++) {
            if (members.get(index).id().equals(id)) {
                return index;
            }
        }
        return -1;
    }

    /** Whether the chosen hosts are a strict majority in each roster version from the settled to the current one. */
    public boolean hasQuorum(Predicate<HostId> chosen) {
        return voterSets().stream().allMatch(voters -> {
            long votes = voters.stream().filter(chosen).count();
            return 2 * votes > voters.size();
        });
    }

    /** Returns the sets of members that vote: that of the settled version and that of each later change of members. */
    public List<Set<HostId>> voterSets() {
        TreeSet<Long> changes = new TreeSet<>();
        changes.add(settledVersion);
        members.forEach(member -> changes.add(member.joinedVersion()));
        removed.forEach(former -> changes.add(former.joinedVersion()));
        removed.forEach(former -> changes.add(former.removedVersion()));
        return changes.tailSet(settledVersion).stream().map(this::membersAt).toList();
    }

    /** Whether members joined or were removed after the settled version and up to the given one. */
    public boolean hasChangesUpTo(long upTo) {
        return members.stream().anyMatch(member -> isUnsettled(member.joinedVersion(), upTo))
                || removed.stream().anyMatch(former -> isUnsettled(former.removedVersion(), upTo));
    }

    private boolean isUnsettled(long changedVersion, long upTo) {
        return changedVersion > settledVersion && changedVersion <= upTo;
    }

    private Set<HostId> membersAt(long at) {
        Set<HostId> result = new HashSet<>();
        for (Member member : members) {
            if (member.joinedVersion() <= at) {
                result.add(member.id());
            }
        }
        for (RemovedMember former : removed) {
            if (former.joinedVersion() <= at && former.removedVersion() > at) {
                result.add(former.id());
            }
        }
        return result;
    }

    private Roster withMembers(List<Member> nextMembers, List<RemovedMember> nextRemoved) {
        long next = version + 1;
        List<Shard> nextShards = ShardAssignment.assign(shards, nextMembers, next);
        return new Roster(next, settledVersion, configurationVersion, nextMembers, nextRemoved, nextShards);
    }
}
