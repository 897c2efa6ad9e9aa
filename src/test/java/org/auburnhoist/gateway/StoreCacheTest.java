package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.StatusDigest;
import org.auburnhoist.core.routing.ServerRegistrations;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.api.Test;

/**
 * Guards against the use, after a process restart, of a withdrawn key or of a server that has left. A restarted host
 * could adopt such data from a host that has not read the store for long.
 */
class StoreCacheTest {
    private static final long SECOND = 1_000_000_000L;
    private static final UpstreamServer SERVER =
            new UpstreamServer("i-1", 5, "ledger", "10.0.0.9:80", "a", 6, false, 0);
    private static final UpstreamServer NEW_SERVER =
            new UpstreamServer("i-2", 6, "ledger", "10.0.0.8:80", "a", 6, false, 0);

    private static FleetMember member(String name) {
        return new FleetMember(new HostId(name, 1), "10.0.0.1:1", "10.0.0.1:2", "a", false, 1);
    }

    private static StoreCache newCache(String name) {
        return newCache(new FleetView(member(name)));
    }

    private static StoreCache newCache(FleetView fleet) {
        return new StoreCache(new VersionOnlyBinding(), fleet, () -> {}, () -> {}, () -> {});
    }

    private static byte[] configuration(long version) {
        return Long.toString(version).getBytes(StandardCharsets.UTF_8);
    }

    /** The digest of a host that read version 4 and one server at second 10. */
    private static StatusDigest digestAt(long nowNanos, StoreCache recipient) {
        StoreCache coordinator = newCache("host-1");
        coordinator.configurationRead(configuration(4), "store");
        coordinator.serversRead(
                ServerRegistrations.of(List.of(SERVER)),
                StorePosition.ofRevision(40),
                10 * SECOND,
                10 * SECOND,
                "store");
        return coordinator.digestFor(recipient.report(false), true, nowNanos);
    }

    @Test
    void aStartingHostAdoptsTheDigestOfAHostThatReadsTheStore() {
        StoreCache starting = newCache("host-2");
        starting.digestReceived(digestAt(11 * SECOND, starting), "host-1", 11 * SECOND, 11 * SECOND);
        assertEquals(4, starting.router().configuration().version());
        assertEquals(List.of(SERVER), starting.servers());
        assertEquals(SECOND, starting.storeAgeNanos(11 * SECOND));
    }

    @Test
    void aStartingHostRejectsTheDigestOfAHostWithoutStoreAccess() {
        StoreCache starting = newCache("host-2");
        starting.digestReceived(digestAt(20 * SECOND, starting), "host-1", 20 * SECOND, 20 * SECOND);
        assertFalse(starting.hasConfiguration());
        assertEquals(List.of(), starting.servers());
        assertTrue(starting.hasRejectedStaleDigest());
        starting.configurationRead(configuration(5), "store");
        starting.serversRead(
                ServerRegistrations.of(List.of()), StorePosition.ofRevision(50), 20 * SECOND, 20 * SECOND, "store");
        starting.digestReceived(digestAt(21 * SECOND, starting), "host-1", 21 * SECOND, 21 * SECOND);
        assertEquals(5, starting.router().configuration().version());
        assertEquals(List.of(), starting.servers());
    }

    /**
     * Guards against the return of a server that another host read earlier and whose removal this host has read since.
     */
    @Test
    void aLaterReadWithoutAChangeIsNotReplacedByAnEarlierDigest() {
        StoreCache running = newCache("host-2");
        running.serversRead(
                ServerRegistrations.of(List.of()), StorePosition.ofRevision(30), 5 * SECOND, 5 * SECOND, "store");
        StatusDigest early = digestAt(11 * SECOND, running);
        running.serversRead(
                ServerRegistrations.of(List.of()), StorePosition.ofRevision(50), 11 * SECOND, 11 * SECOND, "store");
        running.digestReceived(early, "host-1", 11 * SECOND, 12 * SECOND);
        assertEquals(List.of(), running.servers());
        assertEquals(0, digestAt(12 * SECOND, running).servers().length);
    }

    /**
     * Guards against a member list that stays different from the coordinator's, so that the contact ages in its digests
     * are never used.
     */
    @Test
    void aDifferingMemberListIsReplacedAfterALaterReadWithoutAChange() {
        FleetView fleet = new FleetView(member("host-2"));
        StoreCache running = newCache(fleet);
        StoreCache coordinator = newCache("host-1");
        List<FleetMember> coordinatorMembers = List.of(member("host-1"), member("host-2"), member("host-3"));
        running.membersRead(
                List.of(member("host-1"), member("host-2")),
                StorePosition.ofRevision(30),
                "store",
                5 * SECOND,
                5 * SECOND);
        coordinator.membersRead(coordinatorMembers, StorePosition.ofRevision(40), "store", 8 * SECOND, 8 * SECOND);
        running.membersRead(
                List.of(member("host-1"), member("host-2")),
                StorePosition.ofRevision(50),
                "store",
                11 * SECOND,
                11 * SECOND);
        StatusDigest digest = coordinator.digestFor(running.report(true), true, 12 * SECOND);
        running.digestReceived(digest, "host-1", 12 * SECOND, 12 * SECOND);
        assertEquals(coordinatorMembers, fleet.members());
    }

    /** Guards against hosts that serve no requests while the store is unavailable to all hosts. */
    @Test
    void anOldDigestIsAdoptedIfTheStoreCannotBeRead() {
        StoreCache starting = newCache("host-2");
        starting.directReadFailed();
        starting.digestReceived(digestAt(20 * SECOND, starting), "host-1", 20 * SECOND, 20 * SECOND);
        assertEquals(4, starting.router().configuration().version());
        assertEquals(List.of(SERVER), starting.servers());
    }

    /** Guards against a running host that loses access to the store and then adopts nothing from other hosts. */
    @Test
    void aRunningHostAdoptsNewerDocuments() {
        StoreCache running = newCache("host-2");
        running.configurationRead(configuration(3), "store");
        running.serversRead(
                ServerRegistrations.of(List.of()), StorePosition.ofRevision(30), 5 * SECOND, 5 * SECOND, "store");
        running.digestReceived(digestAt(20 * SECOND, running), "host-1", 20 * SECOND, 20 * SECOND);
        assertEquals(4, running.router().configuration().version());
        assertEquals(List.of(SERVER), running.servers());
    }

    /**
     * Guards against a departed server that a host which was cut off brings back to the others: for some time it takes
     * the missing registration for one that expired in an outage of the store.
     */
    @Test
    void aServerThatAHostKeepsAfterItsOwnOutageIsNotPassedOn() {
        StoreCache returned = newCache("host-1");
        returned.registrationGrace(now -> now < 23 * SECOND);
        returned.serversRead(
                ServerRegistrations.of(List.of(SERVER)),
                StorePosition.ofRevision(40),
                10 * SECOND,
                10 * SECOND,
                "store");
        StoreCache inContact = newCache("host-2");
        inContact.serversRead(
                ServerRegistrations.of(List.of(SERVER)),
                StorePosition.ofRevision(40),
                10 * SECOND,
                10 * SECOND,
                "store");
        inContact.serversRead(
                ServerRegistrations.of(List.of()), StorePosition.ofRevision(50), 15 * SECOND, 15 * SECOND, "store");
        returned.serversRead(
                ServerRegistrations.of(List.of(NEW_SERVER)),
                StorePosition.ofRevision(60),
                21 * SECOND,
                21 * SECOND,
                "store");
        assertEquals(List.of(SERVER, NEW_SERVER), returned.servers(), "kept until its registration may be back");
        assertEquals(StorePosition.NONE, returned.registeredPosition("i-1"));
        StatusDigest digest = returned.digestFor(inContact.report(true), true, 21 * SECOND);
        inContact.digestReceived(digest, "host-1", 21 * SECOND, 21 * SECOND);
        assertEquals(List.of(NEW_SERVER), inContact.servers());
        returned.updateServersInUse(23 * SECOND);
        assertEquals(List.of(NEW_SERVER), returned.servers());
    }

    /** Guards against the older list of a read that began before the store was restored and whose response is late. */
    @Test
    void aLateReadOfAnEarlierEraIsIgnored() {
        StoreCache cache = newCache("host-2");
        cache.serversRead(
                ServerRegistrations.of(List.of(SERVER)), new StorePosition(1, 40), 5 * SECOND, 5 * SECOND, "store");
        cache.serversRead(
                ServerRegistrations.of(List.of(NEW_SERVER)),
                new StorePosition(2, 30),
                20 * SECOND,
                20 * SECOND,
                "store");
        cache.serversRead(
                ServerRegistrations.of(List.of(SERVER)), new StorePosition(1, 45), 21 * SECOND, 21 * SECOND, "store");
        assertEquals(List.of(NEW_SERVER), cache.servers());
        assertEquals(2 * SECOND, cache.storeAgeNanos(22 * SECOND), "an ignored read does not make the list fresh");
    }

    /** Guards against two hosts that hold different lists under one number, so that neither sends its list. */
    @Test
    void aListOfTheSameRevisionInALaterEraIsSent() {
        StoreCache reading = newCache("host-1");
        StoreCache reporting = newCache("host-2");
        reporting.serversRead(
                ServerRegistrations.of(List.of(SERVER)), new StorePosition(1, 40), 5 * SECOND, 5 * SECOND, "store");
        reading.serversRead(
                ServerRegistrations.of(List.of(NEW_SERVER)),
                new StorePosition(2, 40),
                20 * SECOND,
                20 * SECOND,
                "store");
        StatusDigest digest = reading.digestFor(reporting.report(true), true, 20 * SECOND);
        reporting.digestReceived(digest, "host-1", 20 * SECOND, 20 * SECOND);
        assertEquals(List.of(NEW_SERVER), reporting.servers());
    }

    /** Guards against hosts that drop a healthy server after an outage because they read of it from another host. */
    @Test
    void everyHostKeepsExpiredRegistrationsForItselfAfterAnOutageOfTheStore() {
        StoreCache reading = newCache("host-1");
        StoreCache reporting = newCache("host-2");
        for (StoreCache cache : List.of(reading, reporting)) {
            cache.registrationGrace(now -> now < 23 * SECOND);
            cache.serversRead(
                    ServerRegistrations.of(List.of(SERVER)),
                    StorePosition.ofRevision(40),
                    10 * SECOND,
                    10 * SECOND,
                    "store");
            assertEquals(StorePosition.ofRevision(40), cache.registeredPosition("i-1"));
        }
        reading.serversRead(
                ServerRegistrations.of(List.of()), StorePosition.ofRevision(60), 21 * SECOND, 21 * SECOND, "store");
        assertEquals(StorePosition.NONE, reading.registeredPosition("i-1"));
        StatusDigest digest = reading.digestFor(reporting.report(true), true, 21 * SECOND);
        reporting.digestReceived(digest, "host-1", 21 * SECOND, 21 * SECOND);
        assertEquals(List.of(SERVER), reporting.servers());
        reporting.updateServersInUse(23 * SECOND);
        assertEquals(List.of(), reporting.servers());
    }

    private static ServerRegistrations overwritten(UpstreamServer... usable) {
        return new ServerRegistrations(List.of(usable), List.of("i-1"));
    }

    /**
     * Guards against a server that counts as gone because another writer has overwritten its entry: it gets no requests
     * until its own entry is back, but the hosts keep what they know of it.
     */
    @Test
    void aServerWhoseEntryIsOverwrittenIsKeptAsLeaving() {
        StoreCache reading = newCache("host-1");
        StoreCache reporting = newCache("host-2");
        for (StoreCache cache : List.of(reading, reporting)) {
            cache.serversRead(
                    ServerRegistrations.of(List.of(SERVER)),
                    StorePosition.ofRevision(40),
                    10 * SECOND,
                    10 * SECOND,
                    "store");
        }
        reading.serversRead(overwritten(NEW_SERVER), StorePosition.ofRevision(50), 11 * SECOND, 11 * SECOND, "store");
        StatusDigest digest = reading.digestFor(reporting.report(true), true, 11 * SECOND);
        reporting.digestReceived(digest, "host-1", 11 * SECOND, 11 * SECOND);
        for (StoreCache cache : List.of(reading, reporting)) {
            assertEquals(List.of(SERVER.asLeaving(), NEW_SERVER), cache.servers());
            assertEquals(StorePosition.NONE, cache.registeredPosition("i-1"));
        }
        assertEquals(reading.report(true), reporting.report(true), "the two hold the same list");
        reading.serversRead(
                ServerRegistrations.of(List.of(SERVER, NEW_SERVER)),
                StorePosition.ofRevision(60),
                12 * SECOND,
                12 * SECOND,
                "store");
        assertEquals(List.of(SERVER, NEW_SERVER), reading.servers());
    }

    /** Guards against a running server that is held back after a return of the store, as if it had left before. */
    @Test
    void aServerWhoseEntryWasOverwrittenIsNotHeldBack() {
        StoreCache cache = newCache("host-1");
        List<ServerRegistrations> reads =
                List.of(ServerRegistrations.of(List.of(SERVER)), overwritten(), overwritten());
        for (int read = 0; read < reads.size(); read++) {
            long now = (10 + read) * SECOND;
            cache.serversRead(reads.get(read), new StorePosition(1 + read / 2, 40 + read), now, now, "store");
        }
        cache.serversRead(
                ServerRegistrations.of(List.of(SERVER)), new StorePosition(2, 50), 13 * SECOND, 13 * SECOND, "store");
        assertEquals(List.of(SERVER), cache.servers());
    }

    /** Guards against a server that is used after it has left, because its entry was overwritten before. */
    @Test
    void aServerThatLeavesAfterItsEntryWasOverwrittenIsHeldBack() {
        StoreCache cache = newCache("host-1");
        List<ServerRegistrations> reads =
                List.of(ServerRegistrations.of(List.of(SERVER)), overwritten(), ServerRegistrations.of(List.of()));
        for (int read = 0; read < reads.size(); read++) {
            long now = (10 + read) * SECOND;
            cache.serversRead(reads.get(read), new StorePosition(1, 40 + read), now, now, "store");
        }
        assertEquals(List.of(), cache.servers());
        cache.serversRead(
                ServerRegistrations.of(List.of(SERVER)), new StorePosition(2, 40), 13 * SECOND, 13 * SECOND, "store");
        assertEquals(List.of(), cache.servers(), "a copy of the store lists it");
        cache.serversRead(overwritten(), new StorePosition(2, 41), 14 * SECOND, 14 * SECOND, "store");
        assertFalse(cache.servers().contains(SERVER));
    }

    /** Guards against requests to an overwritten server, which is missing from a list that is read after an outage. */
    @Test
    void anOverwrittenServerIsNotTakenForAnExpiredRegistration() {
        StoreCache cache = newCache("host-1");
        cache.registrationGrace(now -> true);
        cache.serversRead(
                ServerRegistrations.of(List.of(SERVER)),
                StorePosition.ofRevision(40),
                10 * SECOND,
                10 * SECOND,
                "store");
        cache.serversRead(overwritten(), StorePosition.ofRevision(50), 11 * SECOND, 11 * SECOND, "store");
        assertEquals(List.of(SERVER.asLeaving()), cache.servers());
    }
}
