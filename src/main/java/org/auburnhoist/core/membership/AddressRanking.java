package org.auburnhoist.core.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StableHash;

/** Orders the hosts that a team's callers should use. */
public final class AddressRanking {
    private AddressRanking() {}

    /**
     * Returns the serving members heard of within the limit, in the order of preference: first the owners of the
     * team's buckets, which decide without asking another host, then the others in an order that is stable for the
     * team and differs between teams.
     *
     * @param table what the answering host knows; the answering host itself must be fresh
     * @param team the asking team, or any fixed text if it is not known
     * @param bucketOwners owners of the team's buckets, in order of preference; empty if the team is not known
     * @param limit oldest knowledge of a listed host
     * @param nowNanos present time
     */
    public static List<Member> rank(
            FreshnessTable table, String team, List<HostId> bucketOwners, Duration limit, long nowNanos) {
        return table.roster().members().stream()
                .filter(member -> member.state() == MemberState.SERVING)
                .filter(member -> table.isLive(member.id(), limit, nowNanos))
                .sorted(Comparator.comparingInt((Member member) -> position(bucketOwners, member.id()))
                        .thenComparingLong(member -> StableHash.of(team, member.id())))
                .toList();
    }

    private static int position(List<HostId> bucketOwners, HostId id) {
        int index = bucketOwners.indexOf(id);
        return index < 0 ? Integer.MAX_VALUE : index;
    }
}
