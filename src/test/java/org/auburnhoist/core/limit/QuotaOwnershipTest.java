package org.auburnhoist.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.junit.jupiter.api.Test;

/** Guards against seconds without an owner of a team's limit after a restart, and against two owners at a time. */
class QuotaOwnershipTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String TEAM = "members";
    private static final FallbackLimiter.Tolerance TOLERANCE = new FallbackLimiter.Tolerance(5, 0.1, 20);

    private static FleetMember member(int host, long incarnation, boolean leaving) {
        HostId id = new HostId("host-" + host, incarnation);
        return new FleetMember(id, "10.0.0." + host + ":1", "10.0.0." + host + ":2", "a", leaving, 1);
    }

    /** One host's view and ownership. */
    private static final class Host {
        final FleetView fleet;
        final QuotaOwnership ownership;
        boolean mayOwn = true;

        Host(int number, long incarnation, long startNanos) {
            fleet = new FleetView(member(number, incarnation, false));
            TeamQuotas quotas = new TeamQuotas(TOLERANCE, startNanos);
            ownership = new QuotaOwnership(fleet, "host-" + number, quotas, now -> mayOwn, startNanos);
        }

        void learns(List<FleetMember> members, long nowNanos) {
            fleet.members(members, nowNanos);
            ownership.membersChanged(nowNanos);
        }
    }

    private static List<FleetMember> fleet() {
        List<FleetMember> members = new ArrayList<>();
        for (int host = 1; host <= 3; host++) {
            members.add(member(host, 1, false));
        }
        return members;
    }

    private static Map<Integer, Host> started(long nowNanos) {
        Map<Integer, Host> hosts = new HashMap<>();
        for (int host = 1; host <= 3; host++) {
            Host created = new Host(host, 1, nowNanos);
            created.learns(fleet(), nowNanos);
            hosts.put(host, created);
        }
        return hosts;
    }

    private static int owner(Map<Integer, Host> hosts, long nowNanos) {
        List<Integer> deciding = hosts.keySet().stream()
                .filter(host -> hosts.get(host).ownership.isActiveOwner(TEAM, nowNanos))
                .toList();
        assertEquals(1, deciding.size(), "hosts that decide: " + deciding);
        return deciding.get(0);
    }

    private static Host get(Map<Integer, Host> hosts, int number) {
        Host host = hosts.get(number);
        assertNotNull(host);
        return host;
    }

    @Test
    void aProcessThatRestartsUnderItsNameDecidesAtOnce() {
        int owner = owner(started(0), 10 * SECOND);
        Host restarted = new Host(owner, 2, 20 * SECOND);
        restarted.ownership.resumeOwnership();
        restarted.learns(fleet(), 20 * SECOND);
        assertTrue(restarted.ownership.isActiveOwner(TEAM, 20 * SECOND));
        List<FleetMember> reregistered = fleet();
        reregistered.set(owner - 1, member(owner, 2, false));
        restarted.learns(reregistered, 21 * SECOND);
        assertTrue(restarted.ownership.isActiveOwner(TEAM, 21 * SECOND), "a new incarnation changes no owner");
    }

    @Test
    void aProcessThatWasNoMemberWaits() {
        int owner = owner(started(0), 10 * SECOND);
        Host restarted = new Host(owner, 2, 20 * SECOND);
        restarted.learns(fleet(), 20 * SECOND);
        assertFalse(restarted.ownership.isActiveOwner(TEAM, 21 * SECOND));
        assertTrue(restarted.ownership.isActiveOwner(TEAM, 23 * SECOND));
    }

    @Test
    void aLeavingOwnerHandsOverAndItsNextProcessClaimsTheTeamBack() {
        Map<Integer, Host> hosts = started(0);
        long now = 10 * SECOND;
        int first = owner(hosts, now);
        Host leaving = get(hosts, first);
        fleet().forEach(member -> leaving.fleet.recordReport(member.id().name(), true, 10 * SECOND));
        FleetMember successor =
                leaving.ownership.handOverAll(List.of(TEAM), now).get(TEAM);
        assertNotNull(successor);
        assertFalse(leaving.ownership.isActiveOwner(TEAM, now), "stopped before the other one begins");
        assertEquals(successor.peerAddress(), leaving.ownership.handedOverTo(TEAM));
        int second = Integer.parseInt(successor.id().name().substring("host-".length()));
        get(hosts, second).ownership.acceptHandover(TEAM, now);
        assertEquals(second, owner(hosts, now));

        List<FleetMember> without = fleet();
        without.set(first - 1, member(first, 1, true));
        hosts.values().forEach(host -> host.learns(without, 11 * SECOND));
        assertEquals(second, owner(hosts, 11 * SECOND));

        Host back = new Host(first, 2, 15 * SECOND);
        hosts.put(first, back);
        List<FleetMember> again = fleet();
        again.set(first - 1, member(first, 2, false));
        back.learns(again, 15 * SECOND);
        assertEquals(second, owner(hosts, 15 * SECOND), "the one in between decides until it is asked to stop");
        FleetMember earlier = back.ownership.startTakeoverIfDue(TEAM, 15 * SECOND);
        assertNotNull(earlier);
        assertEquals(successor.id().name(), earlier.id().name());
        assertNull(back.ownership.startTakeoverIfDue(TEAM, 15 * SECOND + 1), "one claim at a time");
        assertTrue(get(hosts, second).ownership.acceptTakeover(TEAM, "10.0.0." + first + ":1", 15 * SECOND));
        back.ownership.onTakeoverAccepted(TEAM, 15 * SECOND);
        assertEquals(first, owner(hosts, 15 * SECOND));
        assertEquals("10.0.0." + first + ":1", get(hosts, second).ownership.handedOverTo(TEAM));
        hosts.values().forEach(host -> host.learns(again, 16 * SECOND));
        assertEquals(first, owner(hosts, 16 * SECOND));
    }

    @Test
    void aHostThatDoesNotDecideAcceptsNoClaim() {
        Map<Integer, Host> hosts = started(0);
        int owner = owner(hosts, 10 * SECOND);
        for (int host = 1; host <= 3; host++) {
            if (host != owner) {
                assertFalse(get(hosts, host).ownership.acceptTakeover(TEAM, "10.0.0.9:1", 10 * SECOND));
            }
        }
        get(hosts, owner).mayOwn = false;
        assertFalse(
                get(hosts, owner).ownership.acceptTakeover(TEAM, "10.0.0.9:1", 10 * SECOND),
                "its lease may have lapsed");
    }
}
