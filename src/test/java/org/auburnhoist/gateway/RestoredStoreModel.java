package org.auburnhoist.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.StatusDigest;
import org.auburnhoist.core.message.StatusReport;
import org.auburnhoist.core.routing.ServerRegistrations;
import org.auburnhoist.core.routing.UpstreamServer;
import org.jspecify.annotations.Nullable;

/**
 * Three hosts with the real cache, and a store whose servers change and which is restored from any earlier content, all
 * at one moment.
 */
final class RestoredStoreModel {
    private static final int HOSTS = 3;
    private static final int SERVERS = 2;
    /** After everything that a host keeps or holds back after a return. */
    private static final long SETTLED_NANOS = Departures.HOLD_BACK_TIME.toNanos() * 2;

    private static final StatusReport KNOWS_NOTHING =
            new StatusReport(true, 0, StorePosition.NONE, 0, StorePosition.NONE);

    /** A step of the model; what the numbers mean depends on the kind. */
    record Step(Kind kind, int first, int second) {
        @Override
        public String toString() {
            return kind + "(" + first + "," + second + ")";
        }
    }

    /** Kinds of steps. */
    enum Kind {
        /** A server goes on: absent, ready, leaving, absent and so on, each time as another start. */
        CHANGE,
        /** The store is restored from its content of some changes ago. */
        RESTORE,
        /** The servers and the operator write again what the store has lost. */
        REWRITE,
        /** A host reads the store. */
        READ,
        /** A host reports to another and gets a digest. */
        REPORT
    }

    private record Content(Map<Integer, UpstreamServer> servers, long version, long revision) {}

    private final List<StoreCache> caches = new ArrayList<>();
    private final List<Content> history = new ArrayList<>();
    private final int[] phases = new int[SERVERS];
    private final List<Set<String>> retired = new ArrayList<>();
    private final List<Set<String>> used = new ArrayList<>();
    private final long[] versions = new long[HOSTS];
    private final Map<StorePosition, List<UpstreamServer>> listsByPosition = new HashMap<>();
    private boolean restored;
    private Content content = new Content(Map.of(), 1, 1);
    private Content intended = content;
    private long era = 1;
    private @Nullable String breach;

    RestoredStoreModel() {
        for (int number = 0; number < HOSTS; number++) {
            FleetMember member =
                    new FleetMember(new HostId("host-" + number, 1), "10.0.0.1:1", "10.0.0.1:2", "a", false, 1);
            StoreCache cache =
                    new StoreCache(new VersionOnlyBinding(), new FleetView(member), () -> {}, () -> {}, () -> {});
            cache.registrationGrace(now -> restored && now < SETTLED_NANOS);
            caches.add(cache);
            retired.add(new HashSet<>());
            used.add(new HashSet<>());
        }
        history.add(content);
        for (int host = 0; host < HOSTS; host++) {
            read(host, 0);
        }
    }

    /** The steps that are possible from any state. */
    static List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            steps.add(new Step(Kind.CHANGE, server, 0));
        }
        steps.add(new Step(Kind.RESTORE, 1, 0));
        steps.add(new Step(Kind.RESTORE, 2, 0));
        steps.add(new Step(Kind.REWRITE, 0, 0));
        for (int host = 0; host < HOSTS; host++) {
            steps.add(new Step(Kind.READ, host, 0));
        }
        steps.add(new Step(Kind.REPORT, 1, 0));
        steps.add(new Step(Kind.REPORT, 2, 0));
        steps.add(new Step(Kind.REPORT, 0, 1));
        return steps;
    }

    void apply(Step step) {
        switch (step.kind()) {
            case CHANGE -> change(step.first());
            case RESTORE -> restore(step.first());
            case REWRITE -> write(intended.servers(), intended.version());
            case READ -> read(step.first(), 0);
            default -> report(step.first(), step.second(), 0);
        }
        check();
    }

    private void change(int server) {
        phases[server]++;
        Map<Integer, UpstreamServer> servers = new TreeMap<>(intended.servers());
        Map<Integer, UpstreamServer> stored = new TreeMap<>(content.servers());
        if (phases[server] % 3 == 0) {
            servers.remove(server);
            stored.remove(server);
        } else {
            boolean leaving = phases[server] % 3 == 2;
            UpstreamServer next = new UpstreamServer(
                    "i-" + server, phases[server] / 3, "pay", "10.0.0." + server + ":80", "a", 2, leaving, 0);
            servers.put(server, next);
            stored.put(server, next);
        }
        long version = intended.version() + 1;
        intended = new Content(servers, version, 0);
        write(stored, version);
    }

    private void write(Map<Integer, UpstreamServer> servers, long version) {
        content = new Content(Map.copyOf(servers), version, content.revision() + 1);
        history.add(content);
    }

    private void restore(int changesBack) {
        if (history.size() > changesBack) {
            for (int change = 0; change < changesBack; change++) {
                history.remove(history.size() - 1);
            }
            content = history.get(history.size() - 1);
            era++;
            restored = true;
        }
    }

    private void read(int host, long nowNanos) {
        StoreCache cache = caches.get(host);
        cache.serversRead(
                ServerRegistrations.of(List.copyOf(new TreeMap<>(content.servers()).values())),
                new StorePosition(era, content.revision()),
                nowNanos,
                nowNanos,
                "store");
        cache.configurationRead(Long.toString(content.version()).getBytes(StandardCharsets.UTF_8), "store");
    }

    private void report(int from, int to, long nowNanos) {
        StatusDigest digest = caches.get(to).digestFor(caches.get(from).report(true), true, nowNanos);
        caches.get(from).digestReceived(digest, "host-" + to, nowNanos, nowNanos);
    }

    private void check() {
        for (int host = 0; host < HOSTS; host++) {
            checkList(host);
            checkUse(host);
            long version = caches.get(host).configurationVersion();
            if (version < versions[host]) {
                fail("host " + host + " went back to version " + version);
            }
            versions[host] = version;
        }
    }

    private void checkList(int host) {
        StatusDigest held = caches.get(host).digestFor(KNOWS_NOTHING, true, 0);
        List<UpstreamServer> list = decode(held);
        List<UpstreamServer> other = listsByPosition.putIfAbsent(held.serversPosition(), list);
        if (other != null && !other.equals(list)) {
            fail("host " + host + " holds " + list + " at " + held.serversPosition() + ", where another held " + other);
        }
    }

    /** A start of a server that a host has ceased to use has left; it never comes back. */
    private void checkUse(int host) {
        Set<String> now = new TreeSet<>();
        caches.get(host).servers().stream()
                .filter(server -> !server.leaving())
                .forEach(server -> now.add(server.id() + "@" + server.startedMillis()));
        Set<String> left = new HashSet<>(used.get(host));
        left.removeAll(now);
        retired.get(host).addAll(left);
        used.set(host, now);
        now.stream()
                .filter(retired.get(host)::contains)
                .forEach(server -> fail("host " + host + " uses " + server + " again"));
    }

    /** Lets the writers write again what is lost, and one host read; then all hosts must know what the store holds. */
    void settle() {
        if (!content.servers().equals(intended.servers()) || content.version() != intended.version()) {
            write(intended.servers(), intended.version());
        }
        read(0, SETTLED_NANOS);
        report(1, 0, SETTLED_NANOS);
        report(2, 0, SETTLED_NANOS);
        List<UpstreamServer> expected = List.copyOf(new TreeMap<>(content.servers()).values());
        for (int host = 0; host < HOSTS; host++) {
            caches.get(host).updateServersInUse(SETTLED_NANOS);
            if (!caches.get(host).servers().equals(expected)) {
                fail("host " + host + " uses " + caches.get(host).servers() + ", the store lists " + expected);
            }
            if (caches.get(host).configurationVersion() != content.version()) {
                fail("host " + host + " has version " + caches.get(host).configurationVersion());
            }
        }
    }

    /** Text that is the same for two states from which the same can follow. */
    String state() {
        StringBuilder text = new StringBuilder(content + "|" + era + "|" + intended + "|" + history);
        for (int host = 0; host < HOSTS; host++) {
            StatusDigest held = caches.get(host).digestFor(KNOWS_NOTHING, true, 0);
            text.append('|')
                    .append(held.serversPosition())
                    .append(caches.get(host).report(true))
                    .append(caches.get(host).servers())
                    .append(decode(held))
                    .append(retired.get(host))
                    .append(caches.get(host).serversKnownPosition());
        }
        return text.toString();
    }

    @Nullable
    String breach() {
        return breach;
    }

    private void fail(String what) {
        if (breach == null) {
            breach = what;
        }
    }

    private static List<UpstreamServer> decode(StatusDigest digest) {
        try {
            return digest.servers().length == 0
                    ? List.of()
                    : FleetCodec.registrations(digest.servers()).servers();
        } catch (IOException cause) {
            throw new UncheckedIOException("digest of the model", cause);
        }
    }
}
