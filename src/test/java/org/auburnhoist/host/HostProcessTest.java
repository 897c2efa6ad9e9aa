package org.auburnhoist.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.membership.RosterCodec;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.StoreKeys;
import org.auburnhoist.store.WriteResult;
import org.junit.jupiter.api.Test;

/** A process whose incarnation was removed by the other hosts, for example because nobody could hear it. */
class HostProcessTest {
    @Test
    void aRemovedHostComesBackOnTheSameAddressesAsAnotherIncarnation() throws Exception {
        try (TestFleet fleet = new TestFleet();
                Store store = fleet.openStore()) {
            EntryHost other = fleet.startHost("host-1");
            HostProcess process = HostProcess.start(fleet.settings("host-2"), store);
            HostId first = process.current().id();
            InetSocketAddress callers = process.current().callerAddress();
            TestFleet.await("both are members", () -> isMember(other, first) && isMember(other, other.id()));

            remove(store, first);

            TestFleet.await(
                    "another incarnation joins",
                    () -> !process.current().id().equals(first)
                            && isMember(other, process.current().id()));
            assertEquals(callers, process.current().callerAddress());
            assertFalse(isMember(other, first), "the former incarnation is a member again");
            process.stop().get(60, TimeUnit.SECONDS);
        }
    }

    private static boolean isMember(EntryHost host, HostId id) {
        Roster roster = host.snapshot().roster();
        return roster != null && roster.member(id).isPresent();
    }

    private static void remove(Store store, HostId member) throws Exception {
        boolean done = false;
        while (!done) {
            Entry entry = ((ReadResult.Found) store.get(StoreKeys.ROSTER).join())
                    .entries()
                    .get(0);
            Roster next = RosterCodec.decode(entry.value()).get().remove(Set.of(member));
            done = store.compareAndSwap(StoreKeys.ROSTER, entry.revision(), RosterCodec.encode(next))
                            .join()
                    instanceof WriteResult.Done;
        }
        assertTrue(done);
    }
}
