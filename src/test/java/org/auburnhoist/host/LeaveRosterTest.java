package org.auburnhoist.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.Roster;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leaving host that removes itself from the roster although the other members form no quorum, so that
 * no later roster version can be settled.
 */
class LeaveRosterTest {
    private static final Roster THREE =
            Roster.bootstrap(member(1), 4).join(member(2)).join(member(3));

    private static Member member(long number) {
        HostId id = new HostId("host-" + number, number);
        return new Member(id, "127.0.0.1:1", "127.0.0.1:2", "dc", MemberState.SERVING, 0);
    }

    @Test
    void aHostLeavesASettledRosterWhoseOtherMembersFormAQuorum() {
        Roster settled = THREE.settle(3, 0);
        Roster next = StoreController.withoutSelf(settled, member(3).id());
        assertNotNull(next);
        assertEquals(2, next.members().size());
    }

    @Test
    void aHostStaysIfTheOthersWouldNotFormAQuorumOfAnUnsettledVersion() {
        // Version 1, whose only member is host 1, is the settled one.
        assertNull(StoreController.withoutSelf(THREE, member(1).id()));
        Roster two = THREE.settle(3, 0).remove(java.util.Set.of(member(3).id()));
        assertNull(StoreController.withoutSelf(two, member(2).id()));
    }

    @Test
    void theLastHostAndANonMemberDoNotLeave() {
        assertNull(StoreController.withoutSelf(
                Roster.bootstrap(member(1), 4), member(1).id()));
        assertNull(StoreController.withoutSelf(THREE, member(9).id()));
    }
}
