package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.dispatch.LimitShares;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.routing.ServerRegistrations;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to a server that has left the platform's list, granted by a dispatcher that cannot read the
 * store any more to a host that can.
 */
class DepartedServerTest {
    private static final String SERVICE = "ledger";
    private static final long REVISION = 10;

    private final VirtualNetwork network = new VirtualNetwork();
    private final SplittableRandom random = new SplittableRandom(7);
    private final List<Host> hosts = new ArrayList<>();
    private Host dispatcher;
    private Host other;

    private final class Host extends VirtualNetwork.Node {
        StoreCache cache;
        SlotBroker broker;

        Host() {
            network.super();
        }

        @Override
        void started() {
            cache = new StoreCache(
                    new VersionOnlyBinding(),
                    fleet,
                    () -> {},
                    () -> broker.serversChanged(network.nowNanos()),
                    () -> {});
            broker = new SlotBroker(
                    fleet, cache, this, this, id, SlotFleet.settings(name, 0.2, 60), random, now -> true, 0);
        }

        @Override
        void receive(Message request, HostId from, Consumer<Message> reply) {
            if (request instanceof SlotRequest slot) {
                broker.handleRequest(slot, from, network.nowNanos(), (answer, now) -> reply.accept(answer));
            } else {
                reply.accept(new Acknowledgement(true));
            }
        }

        void read(long revision, UpstreamServer... servers) {
            read(StorePosition.ofRevision(revision), servers);
        }

        void read(StorePosition position, UpstreamServer... servers) {
            cache.serversRead(
                    ServerRegistrations.of(List.of(servers)),
                    position,
                    network.nowNanos(),
                    network.nowNanos(),
                    "store");
        }

        /** Requests a slot and returns it with the time of virtual milliseconds that the network needs. */
        SlotBroker.Slot acquire() {
            List<SlotBroker.Slot> slots = new ArrayList<>();
            SlotRequest request =
                    new SlotRequest(SERVICE, "r", "team", TrafficClass.LOOKUP, 2_000, random.nextLong(), List.of());
            broker.acquire(request, network.nowNanos(), (result, now) -> slots.add(result.slot()));
            network.runUntil(network.nowNanos() / (double) VirtualNetwork.SECOND + 0.1);
            return slots.get(0);
        }
    }

    private static UpstreamServer server(int number) {
        return new UpstreamServer("i-" + number, 5, SERVICE, "10.0.0.1:" + number, "a", 6, false, 0);
    }

    @BeforeEach
    void start() {
        hosts.add(new Host());
        hosts.add(new Host());
        hosts.forEach(VirtualNetwork.Node::start);
        List<FleetMember> members = hosts.stream().map(Host::member).toList();
        hosts.forEach(host -> host.fleet.members(members, 0));
        String first = hosts.get(0)
                .fleet
                .firstAlive(LimitShares.placementKey(SERVICE), 0)
                .id()
                .name();
        dispatcher = hosts.stream()
                .filter(host -> host.name.equals(first))
                .findFirst()
                .orElseThrow();
        other = hosts.stream().filter(host -> host != dispatcher).findFirst().orElseThrow();
    }

    @Test
    void theGrantOfAnOutdatedDispatcherIsNotUsed() {
        dispatcher.read(REVISION, server(1));
        other.read(REVISION, server(1), server(2));
        assertTrue(other.broker.isUsable(other.acquire()), "both know the server");
        other.read(REVISION + 2, server(2));
        assertFalse(other.broker.isUsable(other.acquire()), "the server has left, and only this host knows it");
    }

    /** A host that has restarted since the server left has never known it. */
    @Test
    void theSameHoldsForAHostThatHasNeverKnownTheServer() {
        dispatcher.read(REVISION, server(1));
        other.read(REVISION + 2, server(2));
        assertFalse(other.broker.isUsable(other.acquire()));
    }

    /** Guards against the grant of a dispatcher that has not read the store since it was restored from a copy. */
    @Test
    void theGrantOfADispatcherOfAnEarlierEraIsNotUsed() {
        dispatcher.read(new StorePosition(1, REVISION), server(1));
        other.read(new StorePosition(1, REVISION), server(1), server(2));
        other.read(new StorePosition(2, REVISION - 5), server(2));
        other.read(new StorePosition(2, REVISION - 4), server(2));
        network.runUntil(network.nowNanos() / (double) VirtualNetwork.SECOND + 1);
        assertFalse(other.broker.isUsable(other.acquire()), "revision 10 of the earlier era is older than 6");
    }

    /** Guards against new servers that get no requests until every host has read of them. */
    @Test
    void aServerThatOnlyTheDispatcherKnowsYetIsUsed() {
        dispatcher.read(REVISION + 2, server(3));
        other.read(REVISION, server(1));
        assertTrue(other.broker.isUsable(other.acquire()));
    }
}
