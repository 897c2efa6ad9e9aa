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

/**
 * Guards against a host process that stays out of the fleet, or changes its addresses, after the other hosts have
 * removed its incarnation, for example because they received no messages from it.
 */
class HostProcessTest {
    @Test
    void aRemovedHostRestartsOnTheSameAddressesAsANewIncarnation() throws Exception {
        try (TestFleet fleet = new TestFleet();
                Store store = fleet.openStore()) {
            EntryHost other = fleet.startHost("host-1");
            HostProcess process = HostProcess.start(fleet.settings("host-2"), store);
            HostId first = process.current().id();
            InetSocketAddress callers = process.current().callerAddress();
            TestFleet.await("both are members", () -> isMember(other, first) && isMember(other, other.id()));

            remove(store, first);

            TestFleet.await(
                    "a new incarnation joins",
                    () -> !process.current().id().equals(first)
                            && isMember(other, process.current().id()));
            assertEquals(callers, process.current().callerAddress());
            assertFalse(isMember(other, first), "the removed incarnation is a member again");
            process.stop().get(60, TimeUnit.SECONDS);
        }
    }

    private static boolean isMember(EntryHost host, HostId id) {
        Roster roster = host.snapshot().roster();
        return roster != null && roster.member(id).isPresent();
    }

    private static void remove(Store store, HostId member) throws Exception {
        boolean written = false;
        while (!written) {
            Entry entry = ((ReadResult.Found) store.get(StoreKeys.ROSTER).join())
                    .entries()
                    .get(0);
            Roster next = RosterCodec.decode(entry.value()).get().remove(Set.of(member));
            written = store.compareAndSwap(StoreKeys.ROSTER, entry.position(), RosterCodec.encode(next))
                            .join()
                    instanceof WriteResult.Done;
        }
        assertTrue(written);
    }
}
