package org.auburnhoist.core.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.api.Test;

/** Guards against duties that move without need, and against callers that are sent to hosts that are gone. */
class FleetViewTest {
    private static final long SECOND = 1_000_000_000L;

    private static FleetMember member(String name, double capacity) {
        return new FleetMember(new HostId(name, 7), "10.0.0.1:1", "10.0.0.1:2", "a", false, capacity);
    }

    private static List<FleetMember> members(int count) {
        List<FleetMember> members = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            members.add(member("host-" + index, 1));
        }
        return members;
    }

    @Test
    void aRestartUnderTheSameNameMovesNoDuty() {
        FleetView before = new FleetView(member("host-0", 1));
        before.members(members(10), 0);
        List<FleetMember> restarted = new ArrayList<>(members(10));
        restarted.replaceAll(old -> new FleetMember(
                new HostId(old.id().name(), 99), old.peerAddress(), old.callerAddress(), "a", false, 1));
        FleetView after = new FleetView(restarted.get(0));
        after.members(restarted, 0);
        for (String duty : List.of("coordinator", "service/a", "team/b")) {
            assertEquals(
                    before.order(duty).get(0).id().name(),
                    after.order(duty).get(0).id().name());
        }
    }

    @Test
    void dutiesFollowCapacity() {
        List<FleetMember> members = new ArrayList<>(members(10));
        members.set(3, member("host-3", 5));
        FleetView view = new FleetView(members.get(0));
        view.members(members, 0);
        Map<String, Integer> duties = new HashMap<>();
        for (int team = 0; team < 2_000; team++) {
            duties.merge(view.order("team/" + team).get(0).id().name(), 1, Integer::sum);
        }
        double expected = 2_000 * 5 / 14.0;
        assertEquals(expected, duties.getOrDefault("host-3", 0), expected * 0.2);
    }

    @Test
    void aHostThatIsSilentLeavingOrNotReadyGetsNoCallers() {
        List<FleetMember> members = new ArrayList<>(members(4));
        members.set(2, member("host-2", 1).asLeaving());
        FleetView view = new FleetView(members.get(0));
        view.members(members, 0);
        view.recordReport("host-1", true, 0);
        view.recordReport("host-2", true, 0);
        view.recordReport("host-3", false, 0);
        assertEquals(List.of("host-0", "host-1"), names(view.hostsForCallers(true, 64, SECOND)));
        assertEquals(List.of("host-0"), names(view.hostsForCallers(true, 64, 3 * SECOND)));
        view.recordReport("host-1", true, 3 * SECOND);
        view.suspect("host-1", 4 * SECOND);
        assertFalse(view.isAlive("host-1", 3 * SECOND));
        assertTrue(view.isAlive("host-1", 4 * SECOND));
    }

    /** Guards against hosts that are passed over although another host has heard of them, or kept although gone. */
    @Test
    void aHostLearnsFromAnotherWhoWasHeardOf() {
        FleetView teller = viewOf(4, 0);
        FleetView learner = viewOf(4, 1);
        teller.recordReport("host-2", true, 3 * SECOND);
        teller.recordReport("host-3", false, 3 * SECOND);
        byte[] told = teller.contactAges(true, 4 * SECOND);
        assertArrayEquals(new byte[] {1, 0, 21, 0}, told);
        learner.mergeContactAges(teller.memberNamesHash(), told, 4 * SECOND);
        assertEquals(List.of("host-0", "host-1", "host-2"), names(learner.hostsForCallers(true, 64, 4 * SECOND)));
        assertEquals(List.of("host-0", "host-1"), names(learner.hostsForCallers(true, 64, 5 * SECOND)));
        assertFalse(learner.isAlive("host-3", 4 * SECOND));
    }

    /** Guards against what another host heard replacing what this one heard later. */
    @Test
    void whatWasHeardLaterIsKept() {
        FleetView teller = viewOf(3, 0);
        FleetView learner = viewOf(3, 1);
        teller.recordReport("host-2", true, 3 * SECOND);
        learner.recordReport("host-2", false, 4 * SECOND);
        learner.mergeContactAges(teller.memberNamesHash(), teller.contactAges(true, 4 * SECOND), 4 * SECOND);
        assertEquals(List.of("host-0", "host-1"), names(learner.hostsForCallers(true, 64, 4 * SECOND)));
        assertTrue(learner.isAlive("host-2", 5 * SECOND));
    }

    /** Guards against silences that are counted for other members than were meant. */
    @Test
    void silencesOfOtherMembersAreNotTakenOver() {
        FleetView teller = viewOf(3, 0);
        teller.recordReport("host-2", true, 9 * SECOND);
        for (FleetView learner : List.of(viewOf(4, 1), viewOf(2, 1))) {
            learner.mergeContactAges(teller.memberNamesHash(), teller.contactAges(true, 9 * SECOND), 9 * SECOND);
            assertEquals(List.of("host-1"), names(learner.hostsForCallers(true, 64, 9 * SECOND)));
        }
        FleetView learner = viewOf(3, 1);
        learner.mergeContactAges(teller.memberNamesHash(), new byte[2], 9 * SECOND);
        assertEquals(List.of("host-1"), names(learner.hostsForCallers(true, 64, 9 * SECOND)));
    }

    private static FleetView viewOf(int count, int self) {
        FleetView view = new FleetView(members(count).get(self));
        view.members(members(count), 0);
        return view;
    }

    private static List<String> names(List<FleetMember> members) {
        return members.stream().map(member -> member.id().name()).toList();
    }

    @Test
    void documentsKeepEveryField() throws IOException {
        List<FleetMember> members = members(3);
        assertEquals(members, FleetCodec.members(FleetCodec.members(members)));
        assertEquals(members.get(1), FleetCodec.member(FleetCodec.member(members.get(1))));
        List<UpstreamServer> servers =
                List.of(new UpstreamServer("i-1", 5, "ledger", "10.0.0.9:80", "b", 6, true, 900));
        assertEquals(servers, FleetCodec.servers(FleetCodec.servers(servers)));
        assertThrows(IOException.class, () -> FleetCodec.members(new byte[] {1, 2, 3}));
        assertThrows(IOException.class, () -> FleetCodec.member(new byte[] {(byte) 0x93}));
    }
}
