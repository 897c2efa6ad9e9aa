package org.auburnhoist.core.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StableHash;

/** Ranks the hosts to which a team's callers should connect. */
public final class AddressRanking {
    private AddressRanking() {}

    /**
     * Returns the serving members whose last known contact is within the limit, most preferred first: the owners of
     * the team's buckets, which decide without asking another host, then the others in an order that is stable for
     * the team and differs between teams.
     *
     * @param table the answering host's freshness table; the answering host itself must be fresh
     * @param team the requesting team, or any constant string if it is not known
     * @param bucketOwners owners of the team's buckets, most preferred first; empty if the team is not known
     * @param limit maximum age of the last contact with a listed host
     * @param nowNanos current time
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
