package org.auburnhoist.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.StatusDigest;
import org.auburnhoist.core.message.StatusReport;
import org.auburnhoist.core.routing.ServerRegistrations;
import org.auburnhoist.core.routing.TrafficConfiguration;
import org.auburnhoist.core.routing.TrafficRouter;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Cache of the store's configuration, servers and members, as read from the store or received from other hosts. The
 * version of each document only increases, so that an older document never replaces a newer one. Confined to the
 * control thread, except for the router.
 */
final class StoreCache {
    /**
     * A host whose data is older than this reads the store directly; a leaving server must get no work after two
     * seconds.
     */
    static final long MAX_AGE_NANOS = 1_250_000_000L;

    private static final byte[] NO_DOCUMENT = new byte[0];

    private final PlatformBinding binding;
    private final FleetView fleet;
    private final Runnable configurationChanged;
    private final ServerList servers;
    private final Runnable membersChanged;
    private volatile TrafficRouter router = TrafficRouter.of(TrafficConfiguration.NONE);
    private byte[] configuration = NO_DOCUMENT;
    private boolean awaitsPeers;
    private byte @Nullable [] keptBackConfiguration;
    private List<FleetMember> members = List.of();
    private byte[] membersDocument = NO_DOCUMENT;
    private StorePosition membersPosition = StorePosition.NONE;
    private StorePosition membersReadPosition = StorePosition.NONE;
    /** Latest position of a document that was read by this host or by one that sent it a digest. */
    private StorePosition latestPosition = StorePosition.NONE;

    private final Departures<HostId> departedMembers = new Departures<>();
    private LongConsumer storeRestored = readNanos -> {};
    private volatile long storeReturns;
    private boolean hasBeenRead;
    private long readAtNanos;
    private boolean directReadFailed;
    private boolean staleDigestRejected;

    StoreCache(
            PlatformBinding binding,
            FleetView fleet,
            Runnable configurationChanged,
            Runnable serversChanged,
            Runnable membersChanged) {
        this.binding = binding;
        this.fleet = fleet;
        this.configurationChanged = configurationChanged;
        this.servers = new ServerList(serversChanged);
        this.membersChanged = membersChanged;
    }

    /**
     * Sets what is called when the store was restored from a copy, with the time of the read that has shown it. It is
     * called before the documents of that read are adopted.
     */
    void onStoreRestored(LongConsumer listener) {
        storeRestored = listener;
    }

    /** Sets how to tell whether healthy servers may be missing from the store's list at a time, after an outage. */
    void registrationGrace(LongPredicate mayLack) {
        servers.registrationGrace(mayLack);
    }

    /** The router of the newest configuration; may be called from any thread. */
    TrafficRouter router() {
        return router;
    }

    /** Version of the configuration in force, 0 if there is none. */
    long configurationVersion() {
        return router.configuration().version();
    }

    boolean hasConfiguration() {
        return router.configuration().version() > 0;
    }

    List<UpstreamServer> servers() {
        return servers.inUse();
    }

    /** A registered server by ID, or null. */
    @Nullable
    UpstreamServer server(String id) {
        return servers.byId(id);
    }

    /** The registered servers of a service. */
    List<UpstreamServer> serversOf(String service) {
        return servers.ofService(service);
    }

    /** Position of the store at which the registered servers were last known. */
    StorePosition serversKnownPosition() {
        return servers.readPosition();
    }

    /** The same if a server is among the registered ones, {@link StorePosition#NONE} for one that is only kept. */
    StorePosition registeredPosition(String server) {
        return servers.registeredPosition(server);
    }

    /** Nanoseconds since the servers were last read from the store, by this host or by one that sent it a digest. */
    long storeAgeNanos(long nowNanos) {
        return hasBeenRead ? nowNanos - readAtNanos : Long.MAX_VALUE;
    }

    /** How often this process has seen the store come back from a copy; may be called from any thread. */
    long storeReturns() {
        return storeReturns;
    }

    /** Records that this host could not read the store, so that the data of other hosts is the best available. */
    void directReadFailed() {
        directReadFailed = true;
    }

    /** Whether this host, while it had no data yet, rejected a digest that was based on too old a read of the store. */
    boolean hasRejectedStaleDigest() {
        return staleDigestRejected;
    }

    /**
     * Keeps back what this host reads of the configuration until running hosts were asked: a store that was restored
     * from a copy holds an older one until the operator has written the newest one again.
     */
    void awaitPeers() {
        awaitsPeers = true;
    }

    /** Whether running hosts are still to be asked for a newer configuration. */
    boolean awaitsPeers() {
        return awaitsPeers;
    }

    /** Lets the configuration of the store count, since running hosts were asked for a newer one. */
    void peersAsked() {
        awaitsPeers = false;
        byte[] stored = keptBackConfiguration;
        keptBackConfiguration = null;
        if (stored != null) {
            adoptConfiguration(stored, "store");
        }
    }

    /** Adopts a configuration of the store if it is newer than the current one. */
    void configurationRead(byte[] stored, String source) {
        if (awaitsPeers) {
            keptBackConfiguration = stored;
        } else {
            adoptConfiguration(stored, source);
        }
    }

    private void adoptConfiguration(byte[] stored, String source) {
        TrafficConfiguration decoded;
        try {
            decoded = binding.decodeConfiguration(stored);
        } catch (IOException cause) {
            Event.named("configuration-unreadable")
                    .with("source", source)
                    .with("cause", cause)
                    .warn();
            return;
        }
        if (decoded.version() > router.configuration().version()) {
            Event.named("configuration-adopted")
                    .with("version", decoded.version())
                    .with("earlier", router.configuration().version())
                    .with("source", source)
                    .log();
            router = TrafficRouter.of(decoded);
            configuration = FleetCodec.deflate(stored);
            configurationChanged.run();
        }
    }

    /** Adopts the registrations that the store held at a position, read at or after {@code readNanos}. */
    void serversRead(ServerRegistrations read, StorePosition position, long readNanos, long nowNanos, String source) {
        if (servers.readPosition().isOfLaterEraThan(position)) {
            logIgnoredRead("servers", position, servers.readPosition());
            return;
        }
        recordReadTime(readNanos);
        if (!servers.readPosition().isReachedAfter(position)) {
            detectRestore(position, readNanos);
            servers.read(read, position, source, nowNanos);
        }
    }

    /** Keeps or drops the servers whose registration may have expired. Must be called a few times a second. */
    void updateServersInUse(long nowNanos) {
        servers.updateInUse(nowNanos);
    }

    /** Adopts the members that the store held at a position. */
    void membersRead(List<FleetMember> read, StorePosition position, String source, long readNanos, long nowNanos) {
        if (membersReadPosition.isReachedAfter(position)) {
            if (membersReadPosition.isOfLaterEraThan(position)) {
                logIgnoredRead("members", position, membersReadPosition);
            }
            return;
        }
        detectRestore(position, readNanos);
        membersReadPosition = position;
        List<FleetMember> sorted = new ArrayList<>(read);
        sorted.sort(Comparator.comparing(member -> member.id().name()));
        if (!sorted.equals(members)) {
            adoptMembers(sorted, FleetCodec.members(sorted), position, source, nowNanos);
        }
    }

    private void adoptMembers(
            List<FleetMember> next, byte[] document, StorePosition position, String source, long nowNanos) {
        Event.named("members-adopted")
                .with("count", next.size())
                .with("position", position)
                .with("source", source)
                .log();
        departedMembers.listReplaced(
                members.stream().map(FleetMember::id).toList(),
                next.stream().map(FleetMember::id).toList(),
                next.stream().filter(FleetMember::leaving).map(FleetMember::id).toList(),
                position.isOfLaterEraThan(membersPosition),
                nowNanos);
        members = List.copyOf(next);
        membersDocument = document;
        membersPosition = position;
        membersReadPosition = membersReadPosition.later(position);
        fleet.members(next, nowNanos);
        membersChanged.run();
    }

    /** The report that this host sends to a coordinator. */
    StatusReport report(boolean ready) {
        // Live members stay listed without a store entry, so lists of the same position may differ between hosts.
        return new StatusReport(
                ready, router.configuration().version(), servers.position(), servers.hash(), membersPosition);
    }

    /** The digest of what a reporting host does not have yet. */
    StatusDigest digestFor(StatusReport report, boolean selfReady, long nowNanos) {
        long version = router.configuration().version();
        return new StatusDigest(
                hasBeenRead ? Math.max(0, (nowNanos - readAtNanos) / 1_000_000L) : -1,
                version,
                report.configurationVersion() < version ? configuration : NO_DOCUMENT,
                servers.position(),
                lacksServers(report) ? servers.document() : NO_DOCUMENT,
                membersPosition,
                membersPosition.isReachedAfter(report.membersPosition()) ? membersDocument : NO_DOCUMENT,
                fleet.memberNamesHash(),
                fleet.contactAges(selfReady, nowNanos));
    }

    /**
     * Whether a reporting host has another list that is not newer. Positions alone do not tell: a list may have changed
     * and changed back between two reads of this host, and the reporting host may have read it in between.
     */
    private boolean lacksServers(StatusReport report) {
        return report.serversHash() != servers.hash()
                && !report.serversPosition().isReachedAfter(servers.position());
    }

    /** Adopts the newer parts of a digest that a coordinator was asked for at {@code askedNanos}. */
    void digestReceived(StatusDigest digest, String from, long askedNanos, long nowNanos) {
        if (isTooStaleAtStartup(digest)) {
            logStaleDigest(digest, from);
            staleDigestRejected = true;
            return;
        }
        try {
            if (digest.configuration().length > 0) {
                adoptConfiguration(FleetCodec.inflate(digest.configuration()), from);
            }
            long readNanos = digest.storeAgeMillis() < 0 ? nowNanos : askedNanos - digest.storeAgeMillis() * 1_000_000L;
            if (digest.members().length > 0 && digest.membersPosition().isReachedAfter(membersPosition)) {
                detectRestore(digest.membersPosition(), readNanos);
                adoptMembers(
                        FleetCodec.members(digest.members()),
                        digest.members(),
                        digest.membersPosition(),
                        from,
                        nowNanos);
            }
            if (digest.servers().length > 0 && !servers.position().isReachedAfter(digest.serversPosition())) {
                detectRestore(digest.serversPosition(), readNanos);
                servers.received(digest.servers(), digest.serversPosition(), from, nowNanos);
            }
        } catch (IOException cause) {
            Event.named("digest-unreadable")
                    .with("from", from)
                    .with("cause", cause)
                    .warn();
            return;
        }
        if (digest.storeAgeMillis() >= 0) {
            recordReadTime(askedNanos - digest.storeAgeMillis() * 1_000_000L);
        }
        fleet.mergeContactAges(digest.memberNamesHash(), digest.contactAges(), askedNanos);
    }

    /**
     * Whether this host has just started and the sender has not read the store for too long. An earlier process of this
     * host may have seen a key withdrawn or a server leave that the sender still lists, so the store is read first.
     */
    private boolean isTooStaleAtStartup(StatusDigest digest) {
        return !hasBeenRead && !directReadFailed && digest.storeAgeMillis() > MAX_AGE_NANOS / 1_000_000L;
    }

    private void logStaleDigest(StatusDigest digest, String from) {
        if (!staleDigestRejected) {
            Event.named("digest-too-old")
                    .with("from", from)
                    .with("store_age_millis", digest.storeAgeMillis())
                    .with("configuration_version", digest.configurationVersion())
                    .log();
        }
    }

    /** Whether a registered server is not used, because it has left and only a copy of the store lists it. */
    boolean isHeldBack(String server) {
        return servers.isHeldBack(server);
    }

    /** Whether a member has left, so that its entry comes from a copy of the store. */
    boolean isHeldBack(HostId member, long nowNanos) {
        return departedMembers.isHeldBack(member, nowNanos);
    }

    /** Notices a later era of the store before what was read in it is adopted. */
    private void detectRestore(StorePosition position, long readNanos) {
        if (!latestPosition.equals(StorePosition.NONE) && position.isOfLaterEraThan(latestPosition)) {
            Event.named("store-restored")
                    .with("earlier", latestPosition)
                    .with("position", position)
                    .with("servers", servers.registered().size())
                    .with("members", members.size())
                    .with("configuration", router.configuration().version())
                    .warn();
            storeReturns++;
            servers.storeRestored(readNanos);
            departedMembers.storeRestored(readNanos);
            storeRestored.accept(readNanos);
        }
        latestPosition = latestPosition.later(position);
    }

    private static void logIgnoredRead(String document, StorePosition read, StorePosition known) {
        Event.named("read-ignored")
                .with("document", document)
                .with("position", read)
                .with("known", known)
                .log();
    }

    private void recordReadTime(long readNanos) {
        if (!hasBeenRead || readNanos - readAtNanos > 0) {
            hasBeenRead = true;
            readAtNanos = readNanos;
        }
    }
}
