package org.auburnhoist.load;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.configuration.ConfigurationChunks;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationHead;
import org.auburnhoist.core.configuration.ConfigurationReader;
import org.auburnhoist.core.configuration.Finding;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.configuration.Server;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.emulator.ServiceTime;
import org.auburnhoist.emulator.StoreEmulator;
import org.auburnhoist.emulator.UpstreamEmulator;
import org.auburnhoist.emulator.UpstreamSpec;
import org.auburnhoist.host.EntryHost;
import org.auburnhoist.host.HostSettings;
import org.auburnhoist.store.EtcdStore;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.StoreKeys;
import org.auburnhoist.store.WriteResult;
import org.auburnhoist.support.Closer;

/**
 * A complete fleet in one process on loopback: an emulated store, an emulated upstream for each declared server, and
 * entry hosts. The emulated servers use free ports, and their addresses replace those in the configuration.
 *
 * <pre>{@code
 * try (LocalFleet fleet = LocalFleet.start(files, options)) {
 *     fleet.awaitReady(Duration.ofSeconds(30));
 *     ...
 * }
 * }</pre>
 */
public final class LocalFleet implements AutoCloseable {
    private static final String FLEET_SECRET = "secret of a local fleet";
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final Closer closer = new Closer();
    private final StoreEmulator storeEmulator;
    private final UpstreamEmulator upstreams;
    private final Store operatorStore;
    private final List<EntryHost> hosts = new ArrayList<>();
    private final FleetConfiguration configuration;
    private final List<ConfigurationFile> files;
    private final Options options;

    /**
     * Options of a local fleet.
     *
     * @param hostCount number of entry hosts
     * @param callerPort caller port of the first host, the others use the following ports; 0 uses free ports
     * @param serviceTime time that an emulated server takes for a request
     * @param addressValidity how long callers may keep an address answer
     * @param seed seed of the emulated servers
     */
    public record Options(
            int hostCount, int callerPort, ServiceTime serviceTime, Duration addressValidity, long seed) {}

    private LocalFleet(List<ConfigurationFile> files, FleetConfiguration declared, Options options) throws IOException {
        this.options = options;
        storeEmulator = closer.register(StoreEmulator.builder().start());
        upstreams = closer.register(startUpstreams(declared));
        operatorStore = openStore();
        this.files = withLocalAddresses(files, declared);
        configuration = ConfigurationReader.read(1, this.files).get();
        apply(this.files);
        for (int index = 0; index < options.hostCount(); index++) {
            startHost(index);
        }
    }

    /**
     * Starts a fleet.
     *
     * @param files all files of a configuration
     * @param options size and behaviour of the fleet
     * @throws IOException if a port is not available
     * @throws IllegalArgumentException if the configuration has findings
     */
    public static LocalFleet start(List<ConfigurationFile> files, Options options) throws IOException {
        Either<List<Finding>, FleetConfiguration> declared = ConfigurationReader.read(1, files);
        if (declared.isLeft()) {
            throw new IllegalArgumentException("files: expected a valid configuration, got " + declared.getLeft());
        }
        return new LocalFleet(files, declared.get(), options);
    }

    /** Returns the entry hosts in the order of their numbers. */
    public List<EntryHost> hosts() {
        return List.copyOf(hosts);
    }

    /** Returns the emulated servers. */
    public UpstreamEmulator upstreams() {
        return upstreams;
    }

    /** Returns the emulated store. */
    public StoreEmulator storeEmulator() {
        return storeEmulator;
    }

    /** Returns the configuration with the addresses of the emulated servers. */
    public FleetConfiguration configuration() {
        return configuration;
    }

    /** Returns the files that were applied at the start, with the addresses of the emulated servers. */
    public List<ConfigurationFile> files() {
        return files;
    }

    /** Replaces a host that was stopped or closed by a new one with the same index and caller address. */
    public EntryHost replaceHost(int index) throws IOException {
        InetSocketAddress callers = hosts.get(index).callerAddress();
        EntryHost replacement = closer.register(EntryHost.start(
                settings(index).toBuilder().callerAddress(callers).build(), openStore()));
        hosts.set(index, replacement);
        return replacement;
    }

    /**
     * Waits until every host is fresh, a member of a roster with all hosts, and has an active configuration.
     *
     * @return whether all hosts were ready within the limit
     */
    public boolean awaitReady(Duration limit) throws InterruptedException {
        long start = System.nanoTime();
        while (!hosts.stream().allMatch(this::isReady)) {
            if (System.nanoTime() - start > limit.toNanos()) {
                return false;
            }
            Thread.sleep(CHECK_INTERVAL.toMillis());
        }
        return true;
    }

    /** Replaces all configuration files by compare-and-swap; for faults that change the configuration under load. */
    public void apply(List<ConfigurationFile> files) {
        apply(operatorStore, files);
    }

    static void apply(Store operatorStore, List<ConfigurationFile> files) {
        for (ConfigurationFile file : files) {
            for (ConfigurationChunks.Chunk chunk : ConfigurationChunks.split(file.content())) {
                operatorStore
                        .compareAndSwap(StoreKeys.CHUNK_PREFIX + chunk.digest(), StorePosition.NONE, chunk.content())
                        .join();
            }
        }
        ReadResult read = operatorStore.get(StoreKeys.CONFIGURATION).join();
        if (!(read instanceof ReadResult.Found found)) {
            throw new IllegalStateException("store: expected an answer, got " + read);
        }
        boolean first = found.entries().isEmpty();
        ConfigurationHead head = first
                ? ConfigurationHead.NONE
                : ConfigurationHead.parse(found.entries().get(0).value()).get();
        ConfigurationHead.Change change = new ConfigurationHead.Change(
                head.version() + 1, "local-" + (head.version() + 1), "local-fleet", "", "replaced all files");
        byte[] next = head.next(change, files, Set.of()).toBytes();
        StorePosition expected =
                first ? StorePosition.NONE : found.entries().get(0).position();
        WriteResult written = operatorStore
                .compareAndSwap(StoreKeys.CONFIGURATION, expected, next)
                .join();
        if (!(written instanceof WriteResult.Done)) {
            throw new IllegalStateException("store: expected the head to be written, got " + written);
        }
    }

    @Override
    public void close() {
        closer.close();
    }

    private boolean isReady(EntryHost host) {
        return host.snapshot().isMember()
                && host.snapshot().isFresh(System.nanoTime())
                && host.snapshot().activeConfiguration().version() > 0
                && memberCount(host) == hosts.size();
    }

    private static int memberCount(EntryHost host) {
        return host.snapshot().roster() == null
                ? 0
                : host.snapshot().roster().members().size();
    }

    private UpstreamEmulator startUpstreams(FleetConfiguration declared) throws IOException {
        UpstreamEmulator.Builder builder = UpstreamEmulator.builder().seed(options.seed());
        for (Service service : declared.services().values()) {
            for (Server server : service.servers()) {
                builder.server(UpstreamSpec.of(
                        service.name(),
                        server.name(),
                        service.slotsPerServer(),
                        service.connectionsPerServer(),
                        options.serviceTime()));
            }
        }
        return builder.start();
    }

    private List<ConfigurationFile> withLocalAddresses(List<ConfigurationFile> files, FleetConfiguration declared) {
        Map<String, String> addresses = new HashMap<>();
        for (Service service : declared.services().values()) {
            for (Server server : service.servers()) {
                addresses.put(server.address(), upstreams.server(server.name()).address());
            }
        }
        return files.stream().map(file -> replaceAddresses(file, addresses)).toList();
    }

    /** Replaces at most one address per line, so that a replacement is never replaced in turn. */
    private static ConfigurationFile replaceAddresses(ConfigurationFile file, Map<String, String> addresses) {
        String text = new String(file.content(), StandardCharsets.UTF_8);
        StringBuilder replaced = new StringBuilder();
        for (String line : text.split("(?<=\n)", -1)) {
            String address = addresses.keySet().stream()
                    .filter(candidate -> line.contains("address: " + candidate + ","))
                    .findFirst()
                    .orElse("");
            replaced.append(address.isEmpty() ? line : line.replace(address, addresses.getOrDefault(address, "")));
        }
        return ConfigurationFile.of(file.name(), replaced.toString());
    }

    private void startHost(int index) throws IOException {
        hosts.add(closer.register(EntryHost.start(settings(index), openStore())));
    }

    private HostSettings settings(int index) {
        List<String> dataCentres = configuration.services().values().stream()
                .flatMap(service -> service.servers().stream())
                .map(Server::dataCentre)
                .distinct()
                .sorted()
                .toList();
        int port = options.callerPort() == 0 ? 0 : options.callerPort() + index;
        return HostSettings.builder("host-" + (index + 1), dataCentres.get(index % dataCentres.size()))
                .callerAddress(new InetSocketAddress("127.0.0.1", port))
                .storeEndpoints(List.of(storeEmulator.address()))
                .fleetSecret(FLEET_SECRET)
                .addressValidity(options.addressValidity())
                .trafficThreads(1)
                .build();
    }

    private Store openStore() {
        return closer.register(
                EtcdStore.builder().endpoint(storeEmulator.address()).build());
    }
}
