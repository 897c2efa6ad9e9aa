package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against dispatchers that together grant more than servers tolerate, whatever each believes of the others. */
class LimitSharesTest {
    private static final long SECOND = 1_000_000_000L;
    /** Servers tolerate one and a half times their limit; bursts of a request for each dispatcher are not in it. */
    private static final double TOLERATED = 1.5;

    private static FleetMember member(int number) {
        return new FleetMember(new HostId("host-" + number, number), "127.0.0.1:1", "127.0.0.1:2", "a", false, 1);
    }

    private static List<FleetMember> members(int from, int until) {
        return IntStream.range(from, until).mapToObj(LimitSharesTest::member).toList();
    }

    private static final class Host {
        final FleetView fleet;
        final LimitShares shares;
        boolean membershipValid = true;

        Host(int number, List<FleetMember> members) {
            fleet = new FleetView(member(number));
            shares = new LimitShares(fleet, "host-" + number, now -> membershipValid);
            learn(members, 0);
        }

        void learn(List<FleetMember> members, long nowNanos) {
            fleet.members(members, nowNanos);
            shares.membersChanged();
        }
    }

    private static List<Host> hosts(int count) {
        List<FleetMember> members = members(0, count);
        List<Host> hosts = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            hosts.add(new Host(number, members));
        }
        return hosts;
    }

    private static double sum(List<Host> hosts, String service, long nowNanos) {
        return hosts.stream()
                .mapToDouble(host -> host.shares.share(service, nowNanos))
                .sum();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 40, 94, 143, 890})
    void allHostsTogetherStayBelowWhatServersTolerate(int count) {
        List<Host> hosts = hosts(count);
        for (String service : List.of("pay", "look", "file")) {
            assertTrue(sum(hosts, service, 0) <= TOLERATED);
            double settled = sum(hosts, service, 10 * SECOND);
            assertTrue(settled >= 1 && settled <= TOLERATED, "sum " + settled);
        }
    }

    /** Guards against a host that joins as the first in the order while the earlier one still decides. */
    @ParameterizedTest
    @ValueSource(ints = {3, 40, 94, 143})
    void aNewFirstHostWaitsUntilAllHaveLearnedOfIt(int count) {
        List<Host> hosts = hosts(count);
        sum(hosts, "pay", 0);
        List<FleetMember> grown = members(0, 2 * count);
        for (int number = count; number < 2 * count; number++) {
            hosts.add(new Host(number, grown));
        }
        for (int tenth = 0; tenth <= 50; tenth++) {
            long now = 10 * SECOND + tenth * SECOND / 10;
            if (tenth == 20) {
                hosts.subList(0, count).forEach(host -> host.learn(grown, now));
            }
            double sum = sum(hosts, "pay", now);
            assertTrue(sum <= 2 * 1.4 - 0.8 && sum <= TOLERATED + 0.3, "sum " + sum + " after " + tenth + " tenths");
        }
        assertEquals(1.4, sum(hosts, "pay", 20 * SECOND), 1e-9);
    }

    @Test
    void aHostOfUncertainMembershipHasTheShareOfASubstitute() {
        Host host = new Host(0, members(0, 1));
        host.shares.share("pay", 0);
        assertEquals(1, host.shares.share("pay", 10 * SECOND));
        host.membershipValid = false;
        assertEquals(0.2, host.shares.share("pay", 10 * SECOND));
    }
}
