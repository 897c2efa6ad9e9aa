package org.auburnhoist.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.auburnhoist.core.HostId;

/**
 * Assigns each shard an owner among the serving members.
 *
 * <p>The shards {@code s} and {@code s + count / 2} hold the two buckets of the same teams and get different owners if
 * there are at least two serving members. Only shards without a serving owner and surplus shards of the owners with the
 * most shards move.
 */
final class ShardAssignment {
    private final List<HostId> owners;
    private final Map<HostId, Integer> loads;

    private ShardAssignment(List<HostId> owners, Map<HostId, Integer> loads) {
        this.owners = owners;
        this.loads = loads;
    }

    static List<Shard> assign(List<Shard> shards, List<Member> members, long version) {
        Map<HostId, Integer> loads = new LinkedHashMap<>();
        servingMembers(members).forEach(member -> loads.put(member.id(), 0));
        List<HostId> owners = shards.stream().map(Shard::owner).collect(Collectors.toCollection(ArrayList::new));
        owners.forEach(owner -> loads.computeIfPresent(owner, (id, load) -> load + 1));
        ShardAssignment assignment = new ShardAssignment(owners, loads);
        assignment.placeShardsWithoutOwner();
        assignment.balance();
        return assignment.changed(shards, members, version);
    }

    /** Leaving members own shards only if there is no serving member. */
    private static List<Member> servingMembers(List<Member> members) {
        List<Member> serving = members.stream()
                .filter(member -> member.state() == MemberState.SERVING)
                .toList();
        return serving.isEmpty() ? members : serving;
    }

    /** Returns the other shard of the same teams. */
    static int partner(int shard, int count) {
        return (shard + count / 2) % count;
    }

    private void placeShardsWithoutOwner() {
        for (int shard = 0; shard < owners.size(); shard++) {
            if (!loads.containsKey(owners.get(shard))) {
                HostId chosen = leastLoadedFor(shard);
                owners.set(shard, chosen);
                loads.merge(chosen, 1, Integer::sum);
            }
        }
    }

    private HostId leastLoadedFor(int shard) {
        HostId partnerOwner = owners.get(partner(shard, owners.size()));
        return loads.entrySet().stream()
                .min(Comparator.comparing((Map.Entry<HostId, Integer> entry) ->
                                entry.getKey().equals(partnerOwner))
                        .thenComparing(Map.Entry::getValue))
                .orElseThrow()
                .getKey();
    }

    private void balance() {
        while (moveOneShard()) {
            // Each move decreases the sum of squared loads, so the loop terminates.
        }
    }

    private boolean moveOneShard() {
        Map.Entry<HostId, Integer> least =
                loads.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow();
        Map.Entry<HostId, Integer> most =
                loads.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow();
        if (most.getValue() - least.getValue() < 2) {
            return false;
        }
        HostId from = most.getKey();
        HostId to = least.getKey();
        int moving = shardToMove(from, to);
        if (moving < 0) {
            return false;
        }
        owners.set(moving, to);
        loads.merge(from, -1, Integer::sum);
        loads.merge(to, 1, Integer::sum);
        return true;
    }

    private int shardToMove(HostId from, HostId to) {
        int candidate = -1;
        for (int shard = 0; shard < owners.size(); shard++) {
            HostId partnerOwner = owners.get(partner(shard, owners.size()));
            if (!owners.get(shard).equals(from) || partnerOwner.equals(to)) {
                continue;
            }
            if (partnerOwner.equals(from)) {
                return shard;
            }
            candidate = shard;
        }
        return candidate;
    }

    private List<Shard> changed(List<Shard> shards, List<Member> members, long version) {
        Set<HostId> present = members.stream().map(Member::id).collect(Collectors.toSet());
        List<Shard> result = new ArrayList<>();
        for (int index = 0; index < shards.size(); index++) {
            Shard before = shards.get(index);
            HostId owner = owners.get(index);
            result.add(owner.equals(before.owner()) ? before : moved(before, owner, version, present));
        }
        return result;
    }

    private static Shard moved(Shard before, HostId owner, long version, Set<HostId> present) {
        return present.contains(before.owner())
                ? new Shard(owner, version, before.owner(), before.ownedSinceVersion())
                : Shard.withoutHandover(owner, version);
    }
}
