package org.auburnhoist.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.membership.Shard;
import org.junit.jupiter.api.Test;

/** Tests when the ownership of a shard ends on the former owner and begins on the new one. */
class ShardOwnershipTest {
    private static final MembershipSettings SETTINGS = MembershipSettings.STANDARD;
    private static final Member FORMER = member(0);
    private static final Member SUCCESSOR = member(1);
    private static final Member THIRD = member(2);

    /** Guards against a takeover wait that does not allow for one clock running slow while the other runs fast. */
    @Test
    void formerOwnerWithSlowClockStopsBeforeSuccessorWithFastClockStarts() {
        double error = SETTINGS.clockRateError();
        Roster before = Roster.bootstrap(FORMER, 4).join(SUCCESSOR).join(THIRD).settle(3, 0);
        int shard = before.shards().stream().map(Shard::owner).toList().indexOf(FORMER.id());
        Roster after = before.markLeaving(FORMER.id());
        assertFalse(after.shards().get(shard).owner().equals(FORMER.id()));
        HostId newOwner = after.shards().get(shard).owner();
        Member other = newOwner.equals(SUCCESSOR.id()) ? THIRD : SUCCESSOR;
        FreshnessTable formerTable = new FreshnessTable(FORMER.id(), SETTINGS, before, 0, 0);
        FreshnessTable newTable = new FreshnessTable(newOwner, SETTINGS, before, 0, 0);
        FreshnessTable otherTable = new FreshnessTable(other.id(), SETTINGS, before, 0, 0);
        formerTable.merge(other.id(), 0, otherTable.answer(0), 0);
        newTable.adoptRoster(after, 1);
        otherTable.adoptRoster(after, 1);
        newTable.merge(other.id(), 1, otherTable.answer(1), 1);
        ShardOwnership former = new ShardOwnership(formerTable, SETTINGS);
        ShardOwnership successor = new ShardOwnership(newTable, SETTINGS);
        boolean hasStarted = false;
        for (long trueNanos = 0; trueNanos < 7_000_000_000L; trueNanos += 1_000_000L) {
            long slow = (long) (trueNanos / (1 + error));
            long fast = (long) (trueNanos * (1 + error));
            newTable.merge(other.id(), fast, otherTable.answer(1), fast);
            boolean isActive = successor.activePeriod(shard, fast).isPresent();
            assertFalse(isActive && former.activePeriod(shard, slow).isPresent(), "both grant at " + trueNanos);
            hasStarted |= isActive;
        }
        assertTrue(hasStarted);
    }

    /** Guards against handing over levels of an earlier ownership, which add to what the interim owner granted. */
    @Test
    void levelsOfAnEarlierOwnershipAreNotHandedOver() {
        Roster owned = Roster.bootstrap(FORMER, 4);
        FreshnessTable table = new FreshnessTable(FORMER.id(), SETTINGS, owned, 0, 0);
        ShardOwnership ownership = new ShardOwnership(table, SETTINGS);
        ShardHandover handover = new ShardHandover(ownership, new TokenBuckets(ownership, LimitSettings.STANDARD));
        assertTrue(ownership.activePeriod(0, 5).isPresent()
                && ownership.activePeriod(1, 5).isPresent());
        List<Shard> shards = new ArrayList<>(owned.shards());
        shards.set(0, new Shard(SUCCESSOR.id(), 6, FORMER.id(), 4));
        shards.set(1, new Shard(SUCCESSOR.id(), 6, FORMER.id(), 0));
        table.adoptRoster(new Roster(6, 1, 0, List.of(FORMER, SUCCESSOR), List.of(), shards), 10);
        assertEquals(1, handover.export(10).size());
    }

    private static Member member(int number) {
        HostId id = new HostId("host-" + number, number);
        return new Member(id, "192.0.2.1:1", "192.0.2.1:2", "dc-0", MemberState.SERVING, 1);
    }
}
