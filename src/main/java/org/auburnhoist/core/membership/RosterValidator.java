package org.auburnhoist.core.membership;

import java.util.HashSet;
import java.util.Set;
import org.auburnhoist.core.HostId;

/** Checks the internal consistency of a decoded roster. */
final class RosterValidator {
    static final int TEXT_LIMIT = 300;
    private static final int MEMBER_LIMIT = 4_000;
    private static final int SHARD_LIMIT = 4_096;

    private RosterValidator() {}

    static void validate(Roster roster) {
        checkVersions(roster);
        checkMembers(roster);
        checkRemoved(roster);
        checkShards(roster);
    }

    private static void checkVersions(Roster roster) {
        require(roster.version() >= 1, "version", roster.version(), "at least 1");
        require(
                roster.settledVersion() >= 1 && roster.settledVersion() <= roster.version(),
                "settledVersion",
                roster.settledVersion(),
                "from 1 to version");
    }

    private static void checkMembers(Roster roster) {
        int count = roster.members().size();
        require(count >= 1 && count <= MEMBER_LIMIT, "members", count, "1 to " + MEMBER_LIMIT + " entries");
        Set<HostId> seen = new HashSet<>();
        for (Member member : roster.members()) {
            require(seen.add(member.id()), "members", member.id(), "each host at most once");
            long joined = member.joinedVersion();
            require(joined >= 1 && joined <= roster.version(), "joinedVersion", joined, "from 1 to version");
        }
        boolean hasEmptyVoterSet = roster.voterSets().stream().anyMatch(Set::isEmpty);
        require(!hasEmptyVoterSet, "settledVersion", roster.settledVersion(), "a version that had members");
    }

    private static void checkRemoved(Roster roster) {
        require(
                roster.removed().size() <= MEMBER_LIMIT,
                "removed",
                roster.removed().size(),
                "at most " + MEMBER_LIMIT);
        for (RemovedMember former : roster.removed()) {
            require(
                    former.removedVersion() > Math.max(former.joinedVersion(), roster.settledVersion())
                            && former.removedVersion() <= roster.version(),
                    "removedVersion",
                    former.removedVersion(),
                    "after joinedVersion and settledVersion, up to version");
            require(
                    roster.member(former.id()).isEmpty(),
                    "removed",
                    former.id(),
                    "a host that is not a current member");
        }
    }

    private static void checkShards(Roster roster) {
        int count = roster.shards().size();
        require(count >= 2 && count % 2 == 0 && count <= SHARD_LIMIT, "shards", count, "an even number of entries");
        for (Shard shard : roster.shards()) {
            require(roster.member(shard.owner()).isPresent(), "owner", shard.owner(), "a member");
            long since = shard.ownedSinceVersion();
            require(since <= roster.version(), "ownedSinceVersion", since, "at most version");
        }
    }

    private static void require(boolean valid, String place, Object value, String expected) {
        if (!valid) {
            throw new InvalidRosterException(place, "is " + value + ", expected " + expected);
        }
    }
}
