package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.dispatch.Quarantine;
import org.auburnhoist.core.membership.CoordinatorSelector;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.StatusReport;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.store.WriteResult;

/**
 * Simulates how the hosts of a fleet learn of the platform's registrations, in virtual time: each reports to a
 * coordinator and reads the store itself when what it knows is too old.
 */
final class RegistrationFleet {
    private static final long TICK_NANOS = 200 * VirtualNetwork.MILLI;
    private static final long READ_NANOS = 4 * VirtualNetwork.MILLI;
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(1);
    private static final int SERVERS = 30;
    /** Time in which writers write again what a restored store has lost. */
    private static final double REWRITE_SECONDS = 2;
    /** Time after which the registration of a silent server is removed. */
    private static final double SILENCE_SECONDS = 4.5;

    private final VirtualNetwork network = new VirtualNetwork();
    private final SplittableRandom random;
    private final List<Host> hosts = new ArrayList<>();
    private final Set<String> withoutStore = new HashSet<>();
    private final RegistrationStore content = new RegistrationStore();
    private boolean storeAvailable = true;

    /** Simulated time at which each server began to leave. */
    private final Map<Integer, Long> leftAt = new HashMap<>();

    private final class Host extends VirtualNetwork.Node {
        StoreCache cache;
        FleetSync sync;
        StorePoller poller;

        Host() {
            network.super();
        }

        @Override
        void started() {
            cache = new StoreCache(new RegistrationBinding(), fleet, () -> {}, () -> {}, () -> {});
            FleetRecordExchange crashes = new FleetRecordExchange(new CrashFleetRecord(new Quarantine()), this);
            sync = new FleetSync(fleet, cache, this, crashes, name, () -> true, random.split(), network.nowNanos());
            poller = new StorePoller(
                    new SimulatedStore(this),
                    this,
                    new RegistrationBinding(),
                    cache,
                    fleet,
                    name,
                    () -> {},
                    random.split(),
                    network.nowNanos());
            content.join(member(), network.nowNanos());
            poller.joined(content.read(GatewayKeys.MEMBERS), network.nowNanos());
            schedule(Duration.ofNanos(random.nextLong(TICK_NANOS)), this::tick);
        }

        private void tick(long nowNanos) {
            sync.tick(nowNanos);
            poller.tick(sync.isCoordinator(nowNanos), nowNanos);
            schedule(Duration.ofNanos(TICK_NANOS), this::tick);
        }

        @Override
        void receive(Message request, HostId from, Consumer<Message> reply) {
            reply.accept(
                    request instanceof StatusReport report
                            ? sync.handleReport(from, report, network.nowNanos())
                            : new Acknowledgement(true));
        }

        boolean isCalm() {
            return running && !withoutStore.contains(name) && !network.isPartitionedOrWasRecently(name);
        }
    }

    private static final class RegistrationBinding extends VersionOnlyBinding {
        @Override
        public UpstreamServer decodeServer(Entry registration) {
            String id = registration.key().substring(serversPrefix().length());
            boolean isLeaving = RegistrationStore.isLeaving(registration);
            return new UpstreamServer(id, 5, "pay", "10.0.0.1:" + id.substring(2), "a", 2, isLeaving, 0);
        }
    }

    private final class SimulatedStore implements Store {
        private final Host host;

        SimulatedStore(Host host) {
            this.host = host;
        }

        private CompletableFuture<ReadResult> read(String prefix) {
            CompletableFuture<ReadResult> result = new CompletableFuture<>();
            if (withoutStore.contains(host.name)) {
                host.schedule(STORE_TIMEOUT, now -> result.complete(new ReadResult.Unavailable("no response")));
            } else if (storeAvailable) {
                host.schedule(Duration.ofNanos(READ_NANOS), now -> result.complete(content.read(prefix)));
            } else {
                host.schedule(
                        Duration.ofNanos(READ_NANOS), now -> result.complete(new ReadResult.Unavailable("reset")));
            }
            return result;
        }

        @Override
        public CompletableFuture<ReadResult> get(String key) {
            return read(key);
        }

        @Override
        public CompletableFuture<ReadResult> range(String prefix) {
            return read(prefix);
        }

        @Override
        public AutoCloseable watch(String prefix, WatchListener listener) {
            return () -> {};
        }

        @Override
        public CompletableFuture<WriteResult> compareAndSwap(String key, StorePosition expected, byte[] value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<WriteResult> compareAndSwap(
                String key, StorePosition expected, byte[] value, long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<WriteResult> compareAndDelete(String key, StorePosition expected) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<LeaseResult> keepAlive(long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {}
    }

    RegistrationFleet(int size, long seed) {
        random = new SplittableRandom(seed);
        for (int number = 0; number < size; number++) {
            hosts.add(new Host());
        }
        for (int server = 0; server < SERVERS; server++) {
            content.register(server, 0);
        }
        content.configure(1, 0);
        hosts.forEach(host -> content.join(host.member(), 0));
        hosts.forEach(VirtualNetwork.Node::start);
    }

    void runUntil(double second) {
        network.runUntil(second);
    }

    /** Schedules work at a time of the simulation. */
    void schedule(double second, Runnable work) {
        network.at((long) (second * VirtualNetwork.SECOND), now -> work.run());
    }

    /** Registers a server that is ready. */
    void register(int server, double second) {
        schedule(second, () -> content.register(server, network.nowNanos()));
    }

    /** Lets a server begin to leave at a time. */
    void leave(int server, double second) {
        schedule(second, () -> {
            content.leave(server, network.nowNanos());
            leftAt.put(server, network.nowNanos());
        });
    }

    /** Lets a server end, which removes its registration. */
    void end(int server, double second) {
        schedule(second, () -> content.end(server, network.nowNanos()));
    }

    /** Writes a version of the configuration. */
    void configure(long version, double second) {
        schedule(second, () -> content.configure(version, network.nowNanos()));
    }

    /**
     * Takes the store away for some time and restores it from a copy. What servers, operators and hosts wrote since the
     * copy is written again within two seconds of the return.
     */
    void restoreStore(double second, double secondsAway, double secondsBack) {
        schedule(second, () -> storeAvailable = false);
        double back = second + secondsAway;
        schedule(back, () -> {
            content.restore((long) ((second - secondsBack) * VirtualNetwork.SECOND), network.nowNanos());
            storeAvailable = true;
            content.outdatedKeys()
                    .forEach(key -> schedule(
                            back + random.nextDouble(REWRITE_SECONDS),
                            () -> content.writeAgain(key, network.nowNanos())));
        });
        schedule(back + SILENCE_SECONDS, () -> content.expireEnded(network.nowNanos()));
    }

    /** Kills the host that the first calm host takes for the coordinator. */
    void killCoordinator() {
        coordinator().kill(() -> {});
    }

    /** Kills some calm hosts. */
    void killHosts(int count) {
        hosts.stream().filter(Host::isCalm).limit(count).toList().forEach(host -> host.kill(() -> {}));
    }

    /** Cuts the coordinator off from all other hosts and from the store. */
    void cutCoordinator(double seconds) {
        Host cut = coordinator();
        cutFromStore(cut, seconds);
        network.partition(node -> node == cut, seconds);
    }

    /** Cuts the coordinator off from the store only. */
    void cutCoordinatorFromStore(double seconds) {
        cutFromStore(coordinator(), seconds);
    }

    /** Cuts a fraction of the hosts off from all other hosts and from the store. */
    void cut(double fraction, double seconds) {
        List<Host> affected =
                hosts.stream().filter(host -> random.nextDouble() < fraction).toList();
        affected.forEach(host -> cutFromStore(host, seconds));
        network.partition(affected::contains, seconds);
    }

    private void cutFromStore(Host host, double seconds) {
        withoutStore.add(host.name);
        schedule(network.nowNanos() / (double) VirtualNetwork.SECOND + seconds, () -> withoutStore.remove(host.name));
    }

    private Host coordinator() {
        Host calm = hosts.stream().filter(Host::isCalm).findFirst().orElseThrow();
        String name = new CoordinatorSelector(calm.fleet, calm.name)
                .coordinator(network.nowNanos())
                .id()
                .name();
        return hosts.stream().filter(host -> host.name.equals(name)).findFirst().orElseThrow();
    }

    /** Whether all calm hosts know that a server is leaving. */
    boolean isKnownEverywhere(int server) {
        return hosts.stream().filter(Host::isCalm).allMatch(host -> {
            UpstreamServer known = host.cache.server(RegistrationStore.serverName(server));
            return known != null && known.leaving();
        });
    }

    /** Number of running hosts that would send requests to a server. */
    long hostsThatUse(int server) {
        return hosts.stream()
                .filter(host -> host.running)
                .map(host -> host.cache.server(RegistrationStore.serverName(server)))
                .filter(known -> known != null && !known.leaving())
                .count();
    }

    /** Lowest version of the configuration that a running host serves; hosts without a configuration serve none. */
    long lowestVersionServed() {
        return hosts.stream()
                .filter(host -> host.running && host.cache.hasConfiguration())
                .mapToLong(host -> host.cache.router().configuration().version())
                .min()
                .orElse(0);
    }

    /** Milliseconds since a server began to leave. */
    long millisSinceLeft(int server) {
        return (network.nowNanos() - leftAt.get(server)) / VirtualNetwork.MILLI;
    }
}
