package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;

class PlacementAndRetryTest {
    private static final List<HostId> MEMBERS = IntStream.range(0, 36)
            .mapToObj(number -> new HostId("host-" + number, number))
            .toList();

    /** Guards against moving dispatchers of other members when one member is lost. */
    @Test
    void lossOfMemberMovesOnlyItsServicesToNextInOrder() {
        DispatcherPlacement placement = new DispatcherPlacement();
        placement.setMembers(MEMBERS);
        Map<String, List<HostId>> before = new HashMap<>();
        IntStream.range(0, 200)
                .forEach(number -> before.put("service-" + number, placement.order("service-" + number)));
        HostId lostMember = MEMBERS.get(7);
        List<HostId> rest = new ArrayList<>(MEMBERS);
        rest.remove(lostMember);
        placement.setMembers(rest);
        before.forEach((service, order) -> {
            List<HostId> expected = new ArrayList<>(order);
            expected.remove(lostMember);
            assertEquals(expected, placement.order(service));
        });
        long used =
                before.values().stream().map(order -> order.get(0)).distinct().count();
        assertTrue(used >= 30, () -> "only " + used + " of 36 members dispatch 200 services");
    }

    /** Guards against retries that multiply the load of a failing service. */
    @Test
    void retriesStayWithinATenthOfTheRequests() {
        RetryBudget budget = new RetryBudget();
        int allowed = 0;
        for (int count = 0; count < 1000; count++) {
            budget.requestStarted(count * 1_000_000L);
            allowed += budget.tryRetry(TrafficClass.LOOKUP, 1, 0, count * 1_000_000L) ? 1 : 0;
        }
        assertEquals(100, allowed, 3);
    }

    @Test
    void bookingsAndRequestsWithTwoLostConnectionsAreNotRetried() {
        RetryBudget budget = new RetryBudget();
        assertFalse(budget.tryRetry(TrafficClass.BOOKING, 1, 0, 0));
        assertTrue(budget.tryRetry(TrafficClass.LOOKUP, 1, 1, 0));
        assertFalse(budget.tryRetry(TrafficClass.LOOKUP, 2, 1, 0));
        assertTrue(budget.tryRetry(TrafficClass.LOOKUP, 2, 0, 0));
        assertFalse(budget.tryRetry(TrafficClass.LOOKUP, 3, 0, 0));
    }
}
