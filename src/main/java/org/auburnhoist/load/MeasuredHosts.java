package org.auburnhoist.load;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.Sha256;
import org.auburnhoist.emulator.StoreEmulator;
import org.auburnhoist.host.EntryHost;
import org.auburnhoist.host.HostSettings;
import org.auburnhoist.store.EtcdStore;
import org.auburnhoist.store.Store;
import org.auburnhoist.support.Closer;

/** Entry hosts in this process in front of one {@link EchoServer}, with rate limits that no measurement reaches. */
final class MeasuredHosts implements AutoCloseable {
    static final String SECRET = "secret of a measured fleet";
    static final String TEAM = "measured";

    private static final String KEY_SECRET = "a-secret-of-the-measured-team-0123456789";
    private static final long READY_LIMIT_NANOS = Duration.ofSeconds(60).toNanos();

    private final Closer closer = new Closer();
    private final EchoServer upstream;
    private final URI storeAddress;
    private final List<EntryHost> hosts = new ArrayList<>();

    private MeasuredHosts(int count) throws IOException {
        upstream = closer.register(EchoServer.start());
        storeAddress = closer.register(StoreEmulator.builder().start()).address();
        LocalFleet.apply(openStore(), List.of(ConfigurationFile.of("fleet.yaml", configuration())));
        for (int index = 1; index <= count; index++) {
            HostSettings settings = HostSettings.builder("host-" + index, "dc-1")
                    .storeEndpoints(List.of(storeAddress))
                    .fleetSecret(SECRET)
                    .trafficThreads(1)
                    .build();
            hosts.add(closer.register(EntryHost.start(settings, openStore())));
        }
    }

    /** Starts hosts with one traffic thread each for callers and for upstreams, and waits until they are ready. */
    static MeasuredHosts start(int count) throws IOException, InterruptedException {
        MeasuredHosts started = new MeasuredHosts(count);
        long limit = System.nanoTime() + READY_LIMIT_NANOS;
        while (!started.hosts.stream().allMatch(host -> started.isReady(host))) {
            if (System.nanoTime() > limit) {
                throw new IllegalStateException("the hosts did not become ready");
            }
            Thread.sleep(20);
        }
        // Buckets start empty after a change of owner; wait until they have refilled.
        Thread.sleep(1_000);
        return started;
    }

    EntryHost host(int index) {
        return hosts.get(index);
    }

    EchoServer upstream() {
        return upstream;
    }

    /** Formats a lookup with the key of the team and the headers of a typical client. */
    static String request(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: measured\r\nAuthorization: Bearer key-1." + KEY_SECRET
                + "\r\nAccept: text/plain, */*;q=0.5\r\nAccept-Encoding: gzip\r\nUser-Agent: load/1\r\n\r\n";
    }

    private boolean isReady(EntryHost host) {
        return host.snapshot().isMember()
                && host.snapshot().isFresh(System.nanoTime())
                && host.snapshot().activeConfiguration().version() > 0
                && host.snapshot().roster() != null
                && host.snapshot().roster().members().size() == hosts.size();
    }

    private Store openStore() {
        return closer.register(EtcdStore.builder().endpoint(storeAddress).build());
    }

    private String configuration() throws IOException {
        String digest = HexFormat.of().formatHex(Sha256.digest(KEY_SECRET.getBytes(StandardCharsets.UTF_8)));
        return """
                teams:
                  measured: {rate-per-second: 1000000, burst: 1000000, weight: 1}
                keys:
                  key-1: {team: measured, secret-sha256: "%s"}
                services:
                  catalogue:
                    slots-per-server: 1000
                    connections-per-server: 2000
                    floor: 0.7
                    profile: cautious
                    servers:
                      catalogue-1: {address: "127.0.0.1:%d", data-centre: dc-1}
                routes:
                  search: {methods: [GET], path: /telescopes, service: catalogue, class: lookup,
                           callers: every-team, timeout: 10s}
                  archive: {methods: [GET], path: /archive, service: catalogue, class: download,
                           callers: every-team, timeout: 10m}
                """.formatted(digest, upstream.address().getPort());
    }

    @Override
    public void close() {
        closer.close();
    }
}
