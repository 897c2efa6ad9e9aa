package org.auburnhoist.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.junit.jupiter.api.Test;

/** Guards against hosts that stay isolated after a network partition, and against a coordinator without the store. */
class CoordinatorSelectorTest {
    private static final long SECOND = 1_000_000_000L;

    private static FleetMember member(int number) {
        HostId id = new HostId("host-" + number, 1);
        return new FleetMember(id, "10.0.0." + number + ":1", "10.0.0." + number + ":2", "a", false, 1);
    }

    private static FleetView view(int own, int count) {
        FleetView fleet = new FleetView(member(own));
        List<FleetMember> members = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            members.add(member(number));
        }
        fleet.members(members, 0);
        return fleet;
    }

    private static String name(FleetMember member) {
        assertNotNull(member);
        return member.id().name();
    }

    @Test
    void isolatedHostFindsTheOthersAgain() {
        FleetView fleet = view(1, 5);
        CoordinatorSelector selector = new CoordinatorSelector(fleet, "host-1");
        assertTrue(selector.isSelf(10 * SECOND), "no contact with any host for ten seconds");
        Set<String> probed = new HashSet<>();
        for (int report = 0; report < 4; report++) {
            probed.add(name(selector.reportTarget(false, 10 * SECOND)));
        }
        assertEquals(Set.of("host-2", "host-3", "host-4", "host-5"), probed);
        probed.forEach(name -> fleet.recordAnswer(name, 11 * SECOND));
        assertEquals(name(fleet.order("coordinator").get(0)), name(selector.coordinator(11 * SECOND)));
    }

    @Test
    void coordinatorThatReceivesReportsProbesNoOtherHost() {
        CoordinatorSelector selector = new CoordinatorSelector(view(1, 5), "host-1");
        assertNull(selector.reportTarget(true, 10 * SECOND));
        CoordinatorSelector alone = new CoordinatorSelector(view(1, 1), "host-1");
        assertNull(alone.reportTarget(false, 10 * SECOND));
    }

    @Test
    void coordinatorWithoutStoreIsSkippedUntilTheGivenTime() {
        CoordinatorSelector selector = new CoordinatorSelector(view(1, 5), "host-1");
        String first = name(selector.coordinator(SECOND));
        selector.skipUntil(first, 3 * SECOND);
        assertFalse(name(selector.coordinator(SECOND)).equals(first));
        FleetView laterView = view(1, 5);
        CoordinatorSelector laterSelector = new CoordinatorSelector(laterView, "host-1");
        laterSelector.skipUntil(first, SECOND);
        assertEquals(first, name(laterSelector.coordinator(SECOND)));
    }
}
