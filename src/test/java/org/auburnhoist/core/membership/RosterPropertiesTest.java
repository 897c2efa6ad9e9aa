package org.auburnhoist.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.auburnhoist.core.HostId;

/** Checks rosters along generated histories of joins, planned stops, removals and settled versions. */
class RosterPropertiesTest {
    private static final int CHANGES = 40;

    /** Guards against two rosters under which disjoint sets of hosts could both decide. */
    @Property(tries = 200, seed = "1414213562373095048")
    void quorumsOfOverlappingRostersIntersect(@ForAll long seed) {
        Random random = new Random(seed);
        List<Roster> history = history(random);
        for (Roster older : history) {
            for (Roster newer : history) {
                if (newer.version() > older.version() && newer.settledVersion() <= older.version()) {
                    Set<HostId> quorum = smallQuorum(older, random);
                    boolean othersHaveQuorum = newer.hasQuorum(id -> !quorum.contains(id));
                    assertFalse(othersHaveQuorum, () -> older + " and " + newer + " have disjoint quorums");
                }
            }
        }
    }

    /** Guards against lost fields and against a decoder that rejects what the encoder produces. */
    @Property(tries = 50, seed = "1732050807568877293")
    void encodingPreservesRosters(@ForAll long seed) {
        for (Roster roster : history(new Random(seed))) {
            assertEquals(roster, RosterCodec.decode(RosterCodec.encode(roster)).get());
        }
    }

    /** Guards against owners with too many shards, leaving owners, and both buckets of a team on one host. */
    @Property(tries = 100, seed = "2236067977499789696")
    void shardsAreBalancedOverServingMembers(@ForAll long seed) {
        for (Roster roster : history(new Random(seed))) {
            Set<HostId> serving = roster.members().stream()
                    .filter(member -> member.state() == MemberState.SERVING)
                    .map(Member::id)
                    .collect(Collectors.toSet());
            if (serving.size() < 2) {
                continue;
            }
            Map<HostId, Long> loads =
                    roster.shards().stream().collect(Collectors.groupingBy(Shard::owner, Collectors.counting()));
            assertTrue(serving.containsAll(loads.keySet()), () -> "an owner is not serving: " + roster);
            long least = serving.stream()
                    .mapToLong(id -> loads.getOrDefault(id, 0L))
                    .min()
                    .orElseThrow();
            assertTrue(Collections.max(loads.values()) - least <= 1, () -> "unbalanced: " + loads);
            for (int shard = 0; shard < roster.shards().size() / 2; shard++) {
                HostId first = roster.shards().get(shard).owner();
                HostId second =
                        roster.shards().get(ShardAssignment.partner(shard, 16)).owner();
                assertFalse(first.equals(second), "both buckets on " + first);
            }
        }
    }

    /** Guards against a join that moves shards between hosts that were members before. */
    @Example
    void joinMovesOnlyTheNewMembersShare() {
        Roster roster = Roster.bootstrap(member(0), 64);
        for (int number = 1; number < 40; number++) {
            Roster next = roster.join(member(number));
            int moved = 0;
            for (int shard = 0; shard < 64; shard++) {
                moved += next.shards().get(shard).equals(roster.shards().get(shard)) ? 0 : 1;
            }
            assertTrue(moved <= 64 / (number + 1) + 1, "moved " + moved + " shards at join " + number);
            roster = next;
        }
    }

    /** Guards against invalid input from the store or a peer. */
    @Example
    void inconsistentRostersAreRejectedWithTheInvalidField() {
        String valid = new String(RosterCodec.encode(Roster.bootstrap(member(0), 4)), StandardCharsets.UTF_8);
        assertEquals("roster", problem("{"));
        assertEquals("roster", problem(valid + "1"));
        assertEquals("version", problem(valid.replace("\"version\":1", "\"version\":-1")));
        assertEquals("settledVersion", problem(valid.replace("\"settledVersion\":1", "\"settledVersion\":2")));
        assertEquals("members[0].state", problem(valid.replace("SERVING", "AWAY")));
        assertEquals("owner", problem(valid.replaceFirst("\"owner\":\"host-0@", "\"owner\":\"host-9@")));
        assertEquals("members[0].id", problem(valid.replaceFirst("\"id\":\"host-0@0\"", "\"id\":\"host-0\"")));
    }

    private static String problem(String json) {
        return RosterCodec.decode(json.getBytes(StandardCharsets.UTF_8))
                .getLeft()
                .place();
    }

    private static Set<HostId> smallQuorum(Roster roster, Random random) {
        Set<HostId> all = new HashSet<>();
        roster.voterSets().forEach(all::addAll);
        List<HostId> order = new ArrayList<>(all);
        Collections.sort(order);
        Collections.shuffle(order, random);
        Set<HostId> quorum = new HashSet<>(all);
        for (HostId id : order) {
            quorum.remove(id);
            if (!roster.hasQuorum(quorum::contains)) {
                quorum.add(id);
            }
        }
        return quorum;
    }

    private static List<Roster> history(Random random) {
        List<Roster> history = new ArrayList<>();
        Roster roster = Roster.bootstrap(member(0), 16);
        for (int number = 1; number <= CHANGES; number++) {
            history.add(roster);
            HostId chosen = roster.members()
                    .get(random.nextInt(roster.members().size()))
                    .id();
            int change = random.nextInt(10);
            if (change < 5 || roster.members().size() < 3) {
                roster = roster.join(member(number));
            } else if (change < 6) {
                roster = roster.markLeaving(chosen);
            } else if (change < 9 && roster.canRemove(Set.of(chosen))) {
                roster = roster.remove(Set.of(chosen));
            } else {
                long settled =
                        roster.settledVersion() + random.nextLong(roster.version() - roster.settledVersion() + 1);
                roster = roster.settle(settled, 0);
            }
        }
        return history;
    }

    static Member member(int number) {
        String address = "192.0.2." + number;
        HostId id = new HostId("host-" + number, number);
        return new Member(id, address + ":1", address + ":2", "dc-" + number % 3, MemberState.SERVING, 1);
    }
}
