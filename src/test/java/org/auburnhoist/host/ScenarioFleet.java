package org.auburnhoist.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.emulator.ServiceTime;
import org.auburnhoist.emulator.UpstreamEmulator;
import org.auburnhoist.emulator.UpstreamServer;
import org.auburnhoist.emulator.UpstreamSpec;
import org.auburnhoist.support.Closer;

/** The hosts, upstream servers and callers of one scenario, shared by its steps. */
public final class ScenarioFleet {
    static final String KEY = "members-1.first";
    static final String OTHER_KEY = "members-2.second";

    /** Short time limits, which keep the scenarios short. */
    static final MembershipSettings MEMBERSHIP = new MembershipSettings(
            Duration.ofSeconds(2), Duration.ofSeconds(3), 0.001, Duration.ofMillis(100), Duration.ofMillis(200), 2);

    final Map<Integer, ScenarioStore> stores = new TreeMap<>();
    final Set<String> leaving = new HashSet<>();
    final ExecutorService executor = Executors.newCachedThreadPool();
    private final Map<Integer, EntryHost> hosts = new TreeMap<>();
    private final Map<InetSocketAddress, Integer> hostNumbers = new ConcurrentHashMap<>();
    private final Set<List<Integer>> blockedLinks = ConcurrentHashMap.newKeySet();
    private final List<ScenarioCaller> callers = new ArrayList<>();
    private final Closer closer = new Closer();
    private boolean withdrawn;
    private double rate = 10_000;
    private int burst = 10_000;
    private TestFleet fleet;
    private UpstreamEmulator upstream;

    /** Starts servers with 6 slots each, then the hosts, and waits until all hosts serve. */
    void start(int hostCount, int serverCount) throws Exception {
        closer.register(executor::shutdownNow);
        UpstreamEmulator.Builder servers = UpstreamEmulator.builder().seed(11);
        for (int number = 1; number <= serverCount; number++) {
            servers.server(UpstreamSpec.of(
                            "catalogue", "catalogue-" + number, 6, 330, new ServiceTime(Duration.ofMillis(2), 0))
                    .withCrashDowntime(Duration.ofMillis(500)));
        }
        upstream = closer.register(servers.start());
        fleet = closer.register(new TestFleet());
        fleet.apply(configuration());
        for (int number = 1; number <= hostCount; number++) {
            startHost(number);
        }
        awaitMembers(hostCount);
        awaitVersion(1, hosts());
    }

    TestFleet fleet() {
        return fleet;
    }

    UpstreamEmulator upstream() {
        return upstream;
    }

    EntryHost startHost(int number) throws Exception {
        ScenarioStore store = new ScenarioStore(fleet.newStore());
        EntryHost host = fleet.startHost(
                "host-" + number,
                store,
                settings -> settings.membership(MEMBERSHIP).addressValidity(Duration.ofMillis(500)));
        stores.put(number, store);
        hosts.put(number, host);
        hostNumbers.put(host.peerAddress(), number);
        host.filterLinks(address -> !blockedLinks.contains(List.of(number, hostNumbers.getOrDefault(address, 0))));
        return host;
    }

    /** Waits until each running host is fresh and a member of a roster with exactly the given number of members. */
    void awaitMembers(int count) throws Exception {
        for (EntryHost host : hosts()) {
            TestFleet.await(
                    host.id() + " is one of " + count + " members",
                    () -> host.snapshot().isMember()
                            && host.snapshot().isFresh(System.nanoTime())
                            && host.snapshot().roster().members().size() == count);
        }
    }

    void awaitVersion(long version, Collection<EntryHost> where) throws Exception {
        for (EntryHost host : where) {
            TestFleet.await(
                    "version " + version + " in force at " + host.id(),
                    () -> host.snapshot().activeConfiguration().version() >= version);
        }
    }

    EntryHost host(int number) {
        return hosts.get(number);
    }

    Collection<EntryHost> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Closes a host immediately, as a crash would. */
    void kill(EntryHost host) {
        hosts.values().remove(host);
        host.close();
    }

    /** Removes a stopped host from the list of hosts. */
    void removeStopped(int number) {
        hosts.remove(number);
    }

    /** Blocks calls from one host to another, but not in the opposite direction. */
    void blockLink(int from, int to) {
        blockedLinks.add(List.of(from, to));
    }

    ScenarioCaller newCaller(String key) {
        ScenarioCaller caller = new ScenarioCaller(key);
        synchronized (callers) {
            callers.add(caller);
        }
        return caller;
    }

    void setRateLimit(double ratePerSecond, int tokens) {
        rate = ratePerSecond;
        burst = tokens;
    }

    void withdrawKey() throws Exception {
        withdrawn = true;
        fleet.apply(configuration());
    }

    String configuration() throws Exception {
        StringBuilder servers = new StringBuilder();
        for (UpstreamServer server : upstream.servers()) {
            servers.append("      %s: {address: \"%s\", data-centre: dc-0, leaving: %s}%n"
                    .formatted(server.name(), server.address(), leaving.contains(server.name())));
        }
        return """
                teams:
                  members: {rate-per-second: %s, burst: %d, weight: 1}
                keys:
                  members-1: {team: members, secret-sha256: "%s", withdrawn: %s}
                  members-2: {team: members, secret-sha256: "%s"}
                routes:
                  search: {methods: [GET], path: /telescopes, service: catalogue, class: lookup,
                           callers: every-team, timeout: 10s}
                  impatient: {methods: [GET], path: /impatient, service: catalogue, class: lookup,
                           callers: every-team, timeout: 300ms}
                  charts: {methods: [GET], path: /charts, service: catalogue, class: download,
                           callers: every-team, timeout: 10s}
                  book: {methods: [POST], path: /bookings, service: catalogue, class: booking,
                         callers: every-team, timeout: 10s}
                services:
                  catalogue:
                    slots-per-server: 6
                    connections-per-server: 330
                    floor: 0.7
                    profile: cautious
                    servers:
                """.formatted(rate, burst, TestFleet.hashOf(KEY), withdrawn, TestFleet.hashOf(OTHER_KEY)) + servers;
    }

    void close() throws Exception {
        for (ScenarioCaller caller : callers) {
            caller.close();
        }
        closer.close();
    }
}
