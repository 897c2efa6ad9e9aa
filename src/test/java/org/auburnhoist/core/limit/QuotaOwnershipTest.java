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

/**
 * Guards against a team's limit having no active owner for seconds after a restart, and against two active owners at
 * the same time.
 */
class QuotaOwnershipTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String TEAM = "members";
    private static final FallbackLimiter.Tolerance TOLERANCE = new FallbackLimiter.Tolerance(5, 0.1, 20);

    private static FleetMember member(int host, long incarnation, boolean leaving) {
        HostId id = new HostId("host-" + host, incarnation);
        return new FleetMember(id, "10.0.0." + host + ":1", "10.0.0." + host + ":2", "a", leaving, 1);
    }

    /** The view of the fleet and the ownership state of one host. */
    private static final class Host {
        final FleetView fleet;
        final QuotaOwnership ownership;
        boolean membershipValid = true;

        Host(int number, long incarnation, long startNanos) {
            fleet = new FleetView(member(number, incarnation, false));
            TeamQuotas quotas = new TeamQuotas(TOLERANCE, startNanos);
            ownership = new QuotaOwnership(fleet, "host-" + number, quotas, now -> membershipValid, startNanos);
        }

        void updateMembers(List<FleetMember> members, long nowNanos) {
            fleet.members(members, nowNanos);
            ownership.membersChanged(nowNanos);
        }
    }

    private static List<FleetMember> members() {
        List<FleetMember> members = new ArrayList<>();
        for (int host = 1; host <= 3; host++) {
            members.add(member(host, 1, false));
        }
        return members;
    }

    private static Map<Integer, Host> startHosts(long nowNanos) {
        Map<Integer, Host> hosts = new HashMap<>();
        for (int host = 1; host <= 3; host++) {
            Host created = new Host(host, 1, nowNanos);
            created.updateMembers(members(), nowNanos);
            hosts.put(host, created);
        }
        return hosts;
    }

    private static int activeOwner(Map<Integer, Host> hosts, long nowNanos) {
        List<Integer> owners = hosts.keySet().stream()
                .filter(host -> hosts.get(host).ownership.isActiveOwner(TEAM, nowNanos))
                .toList();
        assertEquals(1, owners.size(), "active owners: " + owners);
        return owners.get(0);
    }

    private static Host get(Map<Integer, Host> hosts, int number) {
        Host host = hosts.get(number);
        assertNotNull(host);
        return host;
    }

    @Test
    void restartedOwnerIsActiveAtOnce() {
        int owner = activeOwner(startHosts(0), 10 * SECOND);
        Host restarted = new Host(owner, 2, 20 * SECOND);
        restarted.ownership.resumeOwnership();
        restarted.updateMembers(members(), 20 * SECOND);
        assertTrue(restarted.ownership.isActiveOwner(TEAM, 20 * SECOND));
        List<FleetMember> reregistered = members();
        reregistered.set(owner - 1, member(owner, 2, false));
        restarted.updateMembers(reregistered, 21 * SECOND);
        assertTrue(restarted.ownership.isActiveOwner(TEAM, 21 * SECOND), "a new incarnation changes no owner");
    }

    @Test
    void restartedProcessThatWasNoMemberWaits() {
        int owner = activeOwner(startHosts(0), 10 * SECOND);
        Host restarted = new Host(owner, 2, 20 * SECOND);
        restarted.updateMembers(members(), 20 * SECOND);
        assertFalse(restarted.ownership.isActiveOwner(TEAM, 21 * SECOND));
        assertTrue(restarted.ownership.isActiveOwner(TEAM, 23 * SECOND));
    }

    @Test
    void leavingOwnerHandsOverAndTakesTheTeamBackAfterRestart() {
        Map<Integer, Host> hosts = startHosts(0);
        long now = 10 * SECOND;
        int first = activeOwner(hosts, now);
        Host leaving = get(hosts, first);
        members().forEach(member -> leaving.fleet.recordReport(member.id().name(), true, 10 * SECOND));
        FleetMember successor =
                leaving.ownership.handOverAll(List.of(TEAM), now).get(TEAM);
        assertNotNull(successor);
        assertFalse(leaving.ownership.isActiveOwner(TEAM, now), "the leaving owner stops before its successor starts");
        assertEquals(successor.peerAddress(), leaving.ownership.handedOverTo(TEAM));
        int second = Integer.parseInt(successor.id().name().substring("host-".length()));
        get(hosts, second).ownership.acceptHandover(TEAM, now);
        assertEquals(second, activeOwner(hosts, now));

        List<FleetMember> leavingMembers = members();
        leavingMembers.set(first - 1, member(first, 1, true));
        hosts.values().forEach(host -> host.updateMembers(leavingMembers, 11 * SECOND));
        assertEquals(second, activeOwner(hosts, 11 * SECOND));

        Host restarted = new Host(first, 2, 15 * SECOND);
        hosts.put(first, restarted);
        List<FleetMember> rejoinedMembers = members();
        rejoinedMembers.set(first - 1, member(first, 2, false));
        restarted.updateMembers(rejoinedMembers, 15 * SECOND);
        assertEquals(
                second,
                activeOwner(hosts, 15 * SECOND),
                "the interim owner stays active until a takeover is requested");
        FleetMember formerOwner = restarted.ownership.startTakeoverIfDue(TEAM, 15 * SECOND);
        assertNotNull(formerOwner);
        assertEquals(successor.id().name(), formerOwner.id().name());
        assertNull(restarted.ownership.startTakeoverIfDue(TEAM, 15 * SECOND + 1), "one takeover request at a time");
        assertTrue(get(hosts, second).ownership.acceptTakeover(TEAM, "10.0.0." + first + ":1", 15 * SECOND));
        restarted.ownership.onTakeoverAccepted(TEAM, 15 * SECOND);
        assertEquals(first, activeOwner(hosts, 15 * SECOND));
        assertEquals("10.0.0." + first + ":1", get(hosts, second).ownership.handedOverTo(TEAM));
        hosts.values().forEach(host -> host.updateMembers(rejoinedMembers, 16 * SECOND));
        assertEquals(first, activeOwner(hosts, 16 * SECOND));
    }

    @Test
    void hostThatIsNotActiveOwnerRejectsTakeover() {
        Map<Integer, Host> hosts = startHosts(0);
        int owner = activeOwner(hosts, 10 * SECOND);
        for (int host = 1; host <= 3; host++) {
            if (host != owner) {
                assertFalse(get(hosts, host).ownership.acceptTakeover(TEAM, "10.0.0.9:1", 10 * SECOND));
            }
        }
        get(hosts, owner).membershipValid = false;
        assertFalse(
                get(hosts, owner).ownership.acceptTakeover(TEAM, "10.0.0.9:1", 10 * SECOND),
                "its lease may have expired");
    }
}
