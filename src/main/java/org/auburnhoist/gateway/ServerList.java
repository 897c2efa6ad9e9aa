package org.auburnhoist.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.auburnhoist.core.StableHash;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.routing.ServerRegistrations;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * The servers that the store lists, and which of them this host uses. Confined to the control thread.
 *
 * <p>The two differ after an outage of the store, which registrations may not have outlived, and after the store was
 * restored from a copy, which may lack servers and may list servers that have left.
 */
final class ServerList {
    /** The servers that the store lists. */
    private List<UpstreamServer> registered = List.of();
    /** The servers in use: the registered ones and those whose registration may have expired in a store outage. */
    private List<UpstreamServer> inUse = List.of();

    /** IDs of the servers in use that are not registered. */
    private Set<String> expiredIds = Set.of();

    /** IDs under which an entry stands that names no server to use. */
    private List<String> unusableIds = List.of();
    /** Last registrations of the servers among them; these get no requests and have not left. */
    private Map<String, UpstreamServer> overwritten = Map.of();

    private LongPredicate mayLackRegistrations = now -> false;
    private Map<String, UpstreamServer> byId = Map.of();
    private Map<String, List<UpstreamServer>> byService = Map.of();
    private byte[] document = FleetCodec.registrations(ServerRegistrations.of(List.of()));
    /** Tells different lists of registered servers apart. */
    private long hash = hashOf(ServerRegistrations.of(List.of()));
    /** Latest position up to which the servers are known to be unchanged. */
    private StorePosition position = StorePosition.NONE;

    /** Position of the latest read by this host or by one that sent it a digest. */
    private StorePosition readPosition = StorePosition.NONE;

    private final Departures<ServerIncarnation> departures = new Departures<>();
    /** IDs of registered servers that are not used, because only a copy of the store lists them. */
    private Set<String> heldBackIds = Set.of();

    private final Runnable changed;

    /** One start of a server. */
    private record ServerIncarnation(String id, long startedMillis) {
        static ServerIncarnation of(UpstreamServer server) {
            return new ServerIncarnation(server.id(), server.startedMillis());
        }
    }

    /**
     * Creates an empty list.
     *
     * @param changed called when the servers in use have changed
     */
    ServerList(Runnable changed) {
        this.changed = changed;
    }

    /** Sets how to tell whether healthy servers may be missing from the store's list at a time. */
    void registrationGrace(LongPredicate mayLack) {
        mayLackRegistrations = mayLack;
    }

    List<UpstreamServer> inUse() {
        return inUse;
    }

    /** A server in use, or null. */
    @Nullable
    UpstreamServer byId(String id) {
        return byId.get(id);
    }

    List<UpstreamServer> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** The servers that the store lists. */
    List<UpstreamServer> registered() {
        return registered;
    }

    /** Latest position up to which the list is known to be unchanged. */
    StorePosition position() {
        return position;
    }

    StorePosition readPosition() {
        return readPosition;
    }

    /** Tells different lists apart. */
    long hash() {
        return hash;
    }

    /** The compressed list. */
    byte[] document() {
        return document;
    }

    /** The read position if a server is registered and in use, else {@link StorePosition#NONE}. */
    StorePosition registeredPosition(String server) {
        boolean isRegistered =
                byId.containsKey(server) && !expiredIds.contains(server) && !overwritten.containsKey(server);
        return isRegistered ? readPosition : StorePosition.NONE;
    }

    /** Whether a registered server is not used, because it has left and only a copy of the store lists it. */
    boolean isHeldBack(String server) {
        return heldBackIds.contains(server);
    }

    /** Records that the store was restored, as a read that began at {@code readNanos} has shown. */
    void storeRestored(long readNanos) {
        departures.storeRestored(readNanos);
    }

    /** Adopts what the store held at a position that is not earlier than that of the last read. */
    void read(ServerRegistrations read, StorePosition at, String source, long nowNanos) {
        readPosition = at;
        if (!read.unusableIds().equals(unusableIds) || !equalIgnoringWarmup(read.servers(), registered)) {
            adopt(read, FleetCodec.registrations(read), at, source, nowNanos);
        } else {
            // A later read without a change is newer than what another host adopted in between.
            position = at;
        }
        updateInUse(nowNanos);
    }

    /**
     * Adopts a list that another host has sent.
     *
     * @throws IOException if the document is not a list of servers
     */
    void received(byte[] sent, StorePosition at, String source, long nowNanos) throws IOException {
        adopt(FleetCodec.registrations(sent), sent, at, source, nowNanos);
        updateInUse(nowNanos);
    }

    private void adopt(ServerRegistrations next, byte[] sent, StorePosition at, String source, long nowNanos) {
        Map<String, UpstreamServer> nextOverwritten = lastKnown(next.unusableIds());
        logAdopted(next, nextOverwritten.size(), at, source);
        departures.listReplaced(
                present(registered, overwritten).map(ServerIncarnation::of).toList(),
                present(next.servers(), nextOverwritten)
                        .map(ServerIncarnation::of)
                        .toList(),
                present(next.servers(), nextOverwritten)
                        .filter(UpstreamServer::leaving)
                        .map(ServerIncarnation::of)
                        .toList(),
                at.isOfLaterEraThan(position),
                nowNanos);
        registered = next.servers();
        unusableIds = next.unusableIds();
        overwritten = nextOverwritten;
        document = sent;
        hash = hashOf(next);
        position = at;
        readPosition = readPosition.later(at);
    }

    /** Servers whose registration is usable or overwritten, and which have not left therefore. */
    private static Stream<UpstreamServer> present(
            List<UpstreamServer> registered, Map<String, UpstreamServer> overwritten) {
        return Stream.concat(registered.stream(), overwritten.values().stream());
    }

    /** The last registrations of the servers with some IDs, as far as this host has known them. */
    private Map<String, UpstreamServer> lastKnown(List<String> ids) {
        if (ids.isEmpty()) {
            return Map.of();
        }
        Map<String, UpstreamServer> known = new HashMap<>(byId);
        registered.forEach(server -> known.put(server.id(), server));
        known.putAll(overwritten);
        known.keySet().retainAll(ids);
        return known;
    }

    /** Keeps or drops the servers whose registration may have expired. Must be called a few times a second. */
    void updateInUse(long nowNanos) {
        List<UpstreamServer> believed = withoutHeldBack(nowNanos);
        List<UpstreamServer> next = withExpiredRegistrations(believed, nowNanos);
        expiredIds = next.size() == believed.size() ? Set.of() : expiredAmong(next);
        next = withOverwritten(next);
        if (next == inUse || equalIgnoringWarmup(next, inUse)) {
            return;
        }
        inUse = List.copyOf(next);
        byId = next.stream().collect(Collectors.toMap(UpstreamServer::id, Function.identity(), (a, b) -> a));
        byService = next.stream().collect(Collectors.groupingBy(UpstreamServer::service));
        changed.run();
    }

    /** The registered servers without those that have left and are listed only by a copy of the store. */
    private List<UpstreamServer> withoutHeldBack(long nowNanos) {
        heldBackIds = registered.stream()
                .filter(server -> !server.leaving())
                .filter(server -> departures.isHeldBack(ServerIncarnation.of(server), nowNanos))
                .map(UpstreamServer::id)
                .collect(Collectors.toSet());
        return heldBackIds.isEmpty()
                ? registered
                : registered.stream()
                        .filter(server -> !heldBackIds.contains(server.id()))
                        .toList();
    }

    /** Adds the servers whose registration is overwritten, so that what is known of them is kept. */
    private List<UpstreamServer> withOverwritten(List<UpstreamServer> usable) {
        if (overwritten.isEmpty()) {
            return usable;
        }
        return Stream.concat(usable.stream(), overwritten.values().stream().map(UpstreamServer::asLeaving))
                .sorted(Comparator.comparing(UpstreamServer::id))
                .toList();
    }

    private Set<String> expiredAmong(List<UpstreamServer> used) {
        Set<String> ids = used.stream().map(UpstreamServer::id).collect(Collectors.toCollection(HashSet::new));
        registered.forEach(server -> ids.remove(server.id()));
        return ids;
    }

    /**
     * Adds the servers in use that are not registered shortly after a store outage. Their registrations may have
     * expired while the store was unavailable, and the servers get a grace period to register again. Each host decides
     * this by itself: after a cut of one host only, the other hosts have read that the servers have left.
     */
    private List<UpstreamServer> withExpiredRegistrations(List<UpstreamServer> believed, long nowNanos) {
        if (!mayLackRegistrations.test(nowNanos)) {
            return believed;
        }
        Set<String> ids = new HashSet<>(unusableIds);
        Set<String> addresses = new HashSet<>();
        for (UpstreamServer server : registered) {
            ids.add(server.id());
            addresses.add(server.address());
        }
        List<UpstreamServer> result = new ArrayList<>(believed);
        for (UpstreamServer known : inUse) {
            if (!ids.contains(known.id()) && !addresses.contains(known.address()) && !known.leaving()) {
                result.add(known);
            }
        }
        result.sort(Comparator.comparing(UpstreamServer::id));
        return result;
    }

    private static void logAdopted(
            ServerRegistrations next, int overwrittenCount, StorePosition position, String source) {
        long leaving = next.servers().stream().filter(UpstreamServer::leaving).count();
        Event.named("servers-adopted")
                .with("count", next.servers().size())
                .with("leaving", leaving)
                .with("unusable", next.unusableIds().size())
                .with("overwritten", overwrittenCount)
                .with("position", position)
                .with("source", source)
                .log();
    }

    private static long hashOf(ServerRegistrations registrations) {
        StringBuilder text = new StringBuilder();
        for (UpstreamServer server : registrations.servers()) {
            text.append(server.id())
                    .append(' ')
                    .append(server.startedMillis())
                    .append(' ')
                    .append(server.address())
                    .append(' ')
                    .append(server.service())
                    .append(' ')
                    .append(server.slots())
                    .append(' ')
                    .append(server.leaving())
                    .append(' ')
                    .append(server.dataCentre())
                    .append('\n');
        }
        registrations
                .unusableIds()
                .forEach(id -> text.append(' ')
                        .append(id.length())
                        .append(' ')
                        .append(id)
                        .append('\n'));
        return StableHash.of(text.toString());
    }

    /**
     * Compares servers without their remaining warm-up time, which changes continuously and matters only for new
     * servers.
     */
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
