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
import org.auburnhoist.core.routing.ServerRegistrations;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.api.Test;

/** Guards against responsibilities that move needlessly, and against callers that are sent to failed hosts. */
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
    void restartUnderTheSameNameKeepsResponsibilities() {
        FleetView before = new FleetView(member("host-0", 1));
        before.members(members(10), 0);
        List<FleetMember> restarted = new ArrayList<>(members(10));
        restarted.replaceAll(old -> new FleetMember(
                new HostId(old.id().name(), 99), old.peerAddress(), old.callerAddress(), "a", false, 1));
        FleetView after = new FleetView(restarted.get(0));
        after.members(restarted, 0);
        for (String placementKey : List.of("coordinator", "service/a", "team/b")) {
            assertEquals(
                    before.order(placementKey).get(0).id().name(),
                    after.order(placementKey).get(0).id().name());
        }
    }

    @Test
    void responsibilitiesAreProportionalToCapacity() {
        List<FleetMember> members = new ArrayList<>(members(10));
        members.set(3, member("host-3", 5));
        FleetView view = new FleetView(members.get(0));
        view.members(members, 0);
        Map<String, Integer> counts = new HashMap<>();
        for (int team = 0; team < 2_000; team++) {
            counts.merge(view.order("team/" + team).get(0).id().name(), 1, Integer::sum);
        }
        double expected = 2_000 * 5 / 14.0;
        assertEquals(expected, counts.getOrDefault("host-3", 0), expected * 0.2);
    }

    @Test
    void hostWithoutContactLeavingOrNotReadyGetsNoCallers() {
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

    /** Guards against hosts that are skipped although another host has contact with them, or kept although failed. */
    @Test
    void contactAgesOfAnotherHostAreMerged() {
        FleetView sender = viewOf(4, 0);
        FleetView receiver = viewOf(4, 1);
        sender.recordReport("host-2", true, 3 * SECOND);
        sender.recordReport("host-3", false, 3 * SECOND);
        byte[] ages = sender.contactAges(true, 4 * SECOND);
        assertArrayEquals(new byte[] {1, 0, 21, 0}, ages);
        receiver.mergeContactAges(sender.memberNamesHash(), ages, 4 * SECOND);
        assertEquals(List.of("host-0", "host-1", "host-2"), names(receiver.hostsForCallers(true, 64, 4 * SECOND)));
        assertEquals(List.of("host-0", "host-1"), names(receiver.hostsForCallers(true, 64, 5 * SECOND)));
        assertFalse(receiver.isAlive("host-3", 4 * SECOND));
    }

    /** Guards against an older contact of another host that replaces a later contact of this host. */
    @Test
    void laterContactIsKept() {
        FleetView sender = viewOf(3, 0);
        FleetView receiver = viewOf(3, 1);
        sender.recordReport("host-2", true, 3 * SECOND);
        receiver.recordReport("host-2", false, 4 * SECOND);
        receiver.mergeContactAges(sender.memberNamesHash(), sender.contactAges(true, 4 * SECOND), 4 * SECOND);
        assertEquals(List.of("host-0", "host-1"), names(receiver.hostsForCallers(true, 64, 4 * SECOND)));
        assertTrue(receiver.isAlive("host-2", 5 * SECOND));
    }

    /** Guards against contact ages that are attributed to the wrong members. */
    @Test
    void contactAgesForDifferentMembersAreIgnored() {
        FleetView sender = viewOf(3, 0);
        sender.recordReport("host-2", true, 9 * SECOND);
        for (FleetView receiver : List.of(viewOf(4, 1), viewOf(2, 1))) {
            receiver.mergeContactAges(sender.memberNamesHash(), sender.contactAges(true, 9 * SECOND), 9 * SECOND);
            assertEquals(List.of("host-1"), names(receiver.hostsForCallers(true, 64, 9 * SECOND)));
        }
        FleetView receiver = viewOf(3, 1);
        receiver.mergeContactAges(sender.memberNamesHash(), new byte[2], 9 * SECOND);
        assertEquals(List.of("host-1"), names(receiver.hostsForCallers(true, 64, 9 * SECOND)));
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
    void encodingPreservesEveryField() throws IOException {
        List<FleetMember> members = members(3);
        assertEquals(members, FleetCodec.members(FleetCodec.members(members)));
        assertEquals(members.get(1), FleetCodec.member(FleetCodec.member(members.get(1))));
        List<UpstreamServer> servers =
                List.of(new UpstreamServer("i-1", 5, "ledger", "10.0.0.9:80", "b", 6, true, 900));
        ServerRegistrations registrations = new ServerRegistrations(servers, List.of("i-2", "i-3"));
        assertEquals(registrations, FleetCodec.registrations(FleetCodec.registrations(registrations)));
        assertThrows(IOException.class, () -> FleetCodec.members(new byte[] {1, 2, 3}));
        assertThrows(IOException.class, () -> FleetCodec.member(new byte[] {(byte) 0x93}));
    }
}
