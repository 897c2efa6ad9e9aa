package org.auburnhoist.host;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.configuration.ConfigurationChunks;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationHead;
import org.auburnhoist.emulator.HostListEmulator;
import org.auburnhoist.emulator.StoreEmulator;
import org.auburnhoist.store.EtcdStore;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.StoreKeys;
import org.auburnhoist.store.WriteResult;
import org.auburnhoist.support.Closer;

/** Several entry hosts in one process with an emulated store, on loopback sockets. */
final class TestFleet implements AutoCloseable {
    static final String KEY = "members-1.secret-of-the-members";

    /** Timeout that only ends hanging tests; no result depends on how much of it is used. */
    private static final Duration HANG_TIMEOUT = Duration.ofSeconds(60);

    private final Closer closer = new Closer();
    private final StoreEmulator storeEmulator;
    private final Store operatorStore;
    private final HostListEmulator hostList;
    private final List<EntryHost> hosts = new ArrayList<>();
    private final HttpClient httpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    TestFleet() throws Exception {
        storeEmulator = closer.register(StoreEmulator.builder().start());
        operatorStore = newStore();
        hostList = closer.register(HostListEmulator.start(System::nanoTime));
    }

    StoreEmulator storeEmulator() {
        return storeEmulator;
    }

    HostListEmulator hostList() {
        return hostList;
    }

    EntryHost startHost(String name) throws Exception {
        return startHost(name, newStore(), settings -> settings);
    }

    EntryHost startHost(String name, Store store, UnaryOperator<HostSettings.Builder> changes) throws Exception {
        HostSettings settings = changes.apply(settings(name).toBuilder()).build();
        EntryHost host = closer.register(EntryHost.start(settings, store));
        hosts.add(host);
        return host;
    }

    HostSettings settings(String name) {
        return HostSettings.builder(name, "dc-" + hosts.size() % 3)
                .storeEndpoints(List.of(storeEmulator.address()))
                .hostList(hostList.address())
                .fleetSecret("a secret of the test fleet")
                .addressValidity(Duration.ofMillis(200))
                .build();
    }

    /** Opens a client that the caller closes. */
    Store openStore() {
        return EtcdStore.builder().endpoint(storeEmulator.address()).build();
    }

    /** Applies one file as the whole configuration. */
    void apply(String yaml) throws Exception {
        ConfigurationFile file = ConfigurationFile.of("fleet.yaml", yaml);
        for (ConfigurationChunks.Chunk chunk : ConfigurationChunks.split(file.content())) {
            operatorStore
                    .compareAndSwap(StoreKeys.CHUNK_PREFIX + chunk.digest(), StorePosition.NONE, chunk.content())
                    .join();
        }
        ReadResult read = operatorStore.get(StoreKeys.CONFIGURATION).join();
        if (!(read instanceof ReadResult.Found found)) {
            throw new AssertionError("apply: expected Found, got " + read);
        }
        ConfigurationHead current = found.entries().isEmpty()
                ? ConfigurationHead.NONE
                : ConfigurationHead.parse(found.entries().get(0).value()).get();
        StorePosition expected = found.entries().isEmpty()
                ? StorePosition.NONE
                : found.entries().get(0).position();
        ConfigurationHead next = current.next(
                new ConfigurationHead.Change(
                        current.version() + 1, "change", "test", "2026-12-04T00:00:00Z", "fleet.yaml"),
                List.of(file),
                java.util.Set.of());
        WriteResult written = operatorStore
                .compareAndSwap(StoreKeys.CONFIGURATION, expected, next.toBytes())
                .join();
        if (!(written instanceof WriteResult.Done)) {
            throw new AssertionError("apply: expected Done, got " + written);
        }
    }

    /** Removes both documents from the store, which simulates a store that has lost its data. */
    void deleteDocuments() {
        ReadResult.Found found =
                (ReadResult.Found) operatorStore.range(StoreKeys.CURRENT_PREFIX).join();
        found.entries()
                .forEach(entry -> operatorStore
                        .compareAndDelete(entry.key(), entry.position())
                        .join());
    }

    HttpResponse<String> get(EntryHost host, String path, String... headers) throws Exception {
        return send(host, HttpRequest.newBuilder().GET(), path, headers);
    }

    HttpResponse<String> post(EntryHost host, String path, String body, String... headers) throws Exception {
        return send(host, HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.ofString(body)), path, headers);
    }

    private HttpResponse<String> send(EntryHost host, HttpRequest.Builder request, String path, String... headers)
            throws Exception {
        InetSocketAddress address = host.callerAddress();
        request.uri(URI.create("http://127.0.0.1:" + address.getPort() + path)).timeout(HANG_TIMEOUT);
        if (headers.length > 0) {
            request.headers(headers);
        }
        return httpClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static String hashOf(String key) throws Exception {
        String secret = key.substring(key.indexOf('.') + 1);
        byte[] digest =
                java.security.MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest);
    }

    /** Waits until a condition holds; fails only if it never does. */
    static void await(String what, BooleanSupplier condition) throws Exception {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > HANG_TIMEOUT.toNanos()) {
                throw new AssertionError("never happened: " + what);
            }
            Thread.sleep(20);
        }
    }

    Store newStore() {
        return closer.register(openStore());
    }

    @Override
    public void close() {
        closer.close();
    }
}
