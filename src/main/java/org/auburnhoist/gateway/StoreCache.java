package org.auburnhoist.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.StatusDigest;
import org.auburnhoist.core.message.StatusReport;
import org.auburnhoist.core.routing.TrafficConfiguration;
import org.auburnhoist.core.routing.TrafficRouter;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * What this host has learned from the store or from other hosts. Each document carries a version that only grows here,
 * so that nothing older ever replaces it. Belongs to the control thread, but for the router.
 */
final class StoreCache {
    /** A host whose knowledge is older than this reads the store itself; a bound on leaving servers is two seconds. */
    static final long MAX_AGE_NANOS = 1_250_000_000L;

    private static final byte[] NO_DOCUMENT = new byte[0];

    private final PlatformBinding binding;
    private final FleetView fleet;
    private final Runnable configurationChanged;
    private final Runnable serversChanged;
    private final Runnable membersChanged;
    private volatile TrafficRouter router = TrafficRouter.of(TrafficConfiguration.NONE);
    private byte[] configuration = NO_DOCUMENT;
    private List<UpstreamServer> servers = List.of();
    private Map<String, UpstreamServer> serversById = Map.of();
    private Map<String, List<UpstreamServer>> serversByService = Map.of();
    private byte[] serversDocument = NO_DOCUMENT;
    /** When the servers last changed. */
    private long serversRevision;
    /** Up to when they are known not to have changed since. */
    private long serversConfirmedRevision;

    private long serversReadRevision;
    private List<FleetMember> members = List.of();
    private byte[] membersDocument = NO_DOCUMENT;
    private long membersRevision;
    private long membersReadRevision;
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
        this.serversChanged = serversChanged;
        this.membersChanged = membersChanged;
    }

    /** The newest configuration; may be read by any thread. */
    TrafficRouter router() {
        return router;
    }

    boolean hasConfiguration() {
        return router.configuration().version() > 0;
    }

    List<UpstreamServer> servers() {
        return servers;
    }

    /** A registered server, or null. */
    @Nullable
    UpstreamServer server(String id) {
        return serversById.get(id);
    }

    /** The registered servers of a service. */
    List<UpstreamServer> serversOf(String service) {
        return serversByService.getOrDefault(service, List.of());
    }

    /** Nanoseconds since the servers were last read from the store, by this host or by one that told it. */
    long storeAgeNanos(long nowNanos) {
        return hasBeenRead ? nowNanos - readAtNanos : Long.MAX_VALUE;
    }

    /** This host could not read the store, so that what others know is the best that there is. */
    void directReadFailed() {
        directReadFailed = true;
    }

    /** Whether another host told this one, which knew nothing, only what it had read too long ago. */
    boolean hasRejectedStaleDigest() {
        return staleDigestRejected;
    }

    /** Takes over a configuration if it is newer than the present one. */
    void configurationRead(byte[] stored, String source) {
        TrafficConfiguration read;
        try {
            read = binding.decodeConfiguration(stored);
        } catch (IOException cause) {
            Event.named("configuration-unreadable")
                    .with("source", source)
                    .with("cause", cause)
                    .warn();
            return;
        }
        if (read.version() > router.configuration().version()) {
            Event.named("configuration-adopted")
                    .with("version", read.version())
                    .with("earlier", router.configuration().version())
                    .with("source", source)
                    .log();
            router = TrafficRouter.of(read);
            configuration = FleetCodec.deflate(stored);
            configurationChanged.run();
        }
    }

    /**
     * Takes over the servers that the store held at a revision, read at or after {@code readNanos}.
     *
     * @param complete whether these are the store's servers alone, without known ones that may only have lapsed
     */
    void serversRead(List<UpstreamServer> read, boolean complete, long revision, long readNanos, String source) {
        recordReadTime(readNanos);
        if (revision < serversReadRevision) {
            return;
        }
        serversReadRevision = revision;
        List<UpstreamServer> sorted = new ArrayList<>(read);
        sorted.sort(Comparator.comparing(UpstreamServer::id));
        if (!equalIgnoringWarmup(sorted, servers)) {
            adoptServers(sorted, FleetCodec.servers(sorted), revision, source);
        } else if (complete) {
            // What was read later without a change is newer than what another host adopted in between.
            serversConfirmedRevision = revision;
        }
    }

    private void adoptServers(List<UpstreamServer> next, byte[] document, long revision, String source) {
        logServers(next, revision, source);
        servers = List.copyOf(next);
        serversById = next.stream().collect(Collectors.toMap(UpstreamServer::id, Function.identity(), (a, b) -> a));
        serversByService = next.stream().collect(Collectors.groupingBy(UpstreamServer::service));
        serversDocument = document;
        serversRevision = revision;
        serversConfirmedRevision = revision;
        serversReadRevision = Math.max(serversReadRevision, revision);
        serversChanged.run();
    }

    private void logServers(List<UpstreamServer> next, long revision, String source) {
        long leaving = next.stream().filter(UpstreamServer::leaving).count();
        Event.named("servers-adopted")
                .with("count", next.size())
                .with("leaving", leaving)
                .with("revision", revision)
                .with("source", source)
                .log();
    }

    /** Takes over the members that the store held at a revision. */
    void membersRead(List<FleetMember> read, long revision, String source, long nowNanos) {
        if (revision < membersReadRevision) {
            return;
        }
        membersReadRevision = revision;
        List<FleetMember> sorted = new ArrayList<>(read);
        sorted.sort(Comparator.comparing(member -> member.id().name()));
        if (!sorted.equals(members)) {
            adoptMembers(sorted, FleetCodec.members(sorted), revision, source, nowNanos);
        }
    }

    private void adoptMembers(List<FleetMember> next, byte[] document, long revision, String source, long nowNanos) {
        Event.named("members-adopted")
                .with("count", next.size())
                .with("revision", revision)
                .with("source", source)
                .log();
        members = List.copyOf(next);
        membersDocument = document;
        membersRevision = revision;
        membersReadRevision = Math.max(membersReadRevision, revision);
        fleet.members(next, nowNanos);
        membersChanged.run();
    }

    /** What this host tells a coordinator. */
    StatusReport report(boolean ready) {
        // Members that are heard of stay listed without an entry, so lists of one revision may differ between hosts.
        return new StatusReport(ready, router.configuration().version(), serversConfirmedRevision, membersRevision);
    }

    /** What a reporting host does not know yet. */
    StatusDigest digestFor(StatusReport report, boolean selfReady, long nowNanos) {
        long version = router.configuration().version();
        return new StatusDigest(
                hasBeenRead ? Math.max(0, (nowNanos - readAtNanos) / 1_000_000L) : -1,
                version,
                report.configurationVersion() < version ? configuration : NO_DOCUMENT,
                serversRevision,
                report.serversRevision() < serversRevision ? serversDocument : NO_DOCUMENT,
                membersRevision,
                report.membersRevision() < membersRevision ? membersDocument : NO_DOCUMENT,
                fleet.memberNamesHash(),
                fleet.contactAges(selfReady, nowNanos));
    }

    /** Takes over what a coordinator knew when it was asked at {@code askedNanos}. */
    void digestReceived(StatusDigest digest, String from, long askedNanos, long nowNanos) {
        if (isTooStaleAtStartup(digest)) {
            logStaleDigest(digest, from);
            staleDigestRejected = true;
            return;
        }
        try {
            if (digest.configuration().length > 0) {
                configurationRead(FleetCodec.inflate(digest.configuration()), from);
            }
            if (digest.members().length > 0 && digest.membersRevision() > membersRevision) {
                adoptMembers(
                        FleetCodec.members(digest.members()),
                        digest.members(),
                        digest.membersRevision(),
                        from,
                        nowNanos);
            }
            if (digest.servers().length > 0 && digest.serversRevision() > serversConfirmedRevision) {
                adoptServers(FleetCodec.servers(digest.servers()), digest.servers(), digest.serversRevision(), from);
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
     * Whether this host has just started and the other one has not read the store for long. The process that ran here
     * before may have seen a key withdrawn or a server leave that the other host still knows, so the store is read
     * first.
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

    private void recordReadTime(long readNanos) {
        if (!hasBeenRead || readNanos - readAtNanos > 0) {
            hasBeenRead = true;
            readAtNanos = readNanos;
        }
    }

    /** The rest of a server's warm-up changes all the time and is of interest only when the server is new. */
    private static boolean equalIgnoringWarmup(List<UpstreamServer> left, List<UpstreamServer> right) {
        if (left.size() != right.size()) {
            return false;
        }
        for (int index = 0; index < left.size(); index++) {
            UpstreamServer one = left.get(index);
            UpstreamServer other = right.get(index);
            if (!one.id().equals(other.id())
                    || one.startedMillis() != other.startedMillis()
                    || !one.address().equals(other.address())
                    || !one.service().equals(other.service())
                    || one.slots() != other.slots()
                    || one.leaving() != other.leaving()
                    || !Objects.equals(one.dataCentre(), other.dataCentre())) {
                return false;
            }
        }
        return true;
    }
}
