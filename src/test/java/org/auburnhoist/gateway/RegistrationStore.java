package org.auburnhoist.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.membership.FleetCodec;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.ReadResult;

/** The content of a simulated store with servers, members and a configuration, which can be restored from a copy. */
final class RegistrationStore {
    private static final byte READY = 0;
    private static final byte LEAVING = 1;

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    /** Earlier contents by the time until which they held. */
    private final TreeMap<Long, Copy> copies = new TreeMap<>();
    /** What the servers and the operator want the store to hold; an absent server has ended. */
    private final Map<String, byte[]> intended = new HashMap<>();

    private long era = 1;
    private long revision = 1;

    private record Copy(Map<String, Entry> entries, long revision) {}

    StorePosition position() {
        return new StorePosition(era, revision);
    }

    /** Registers a server that is ready. */
    void register(int server, long nowNanos) {
        write(serverKey(server), new byte[] {READY}, nowNanos);
    }

    /** Marks a server as leaving. */
    void leave(int server, long nowNanos) {
        write(serverKey(server), new byte[] {LEAVING}, nowNanos);
    }

    /** Removes the registration of a server that has ended. */
    void end(int server, long nowNanos) {
        intended.remove(serverKey(server));
        remove(serverKey(server), nowNanos);
    }

    /** Writes a version of the configuration. */
    void configure(long version, long nowNanos) {
        write("configuration", Long.toString(version).getBytes(StandardCharsets.UTF_8), nowNanos);
    }

    /** Registers a member, as its host does. */
    void join(FleetMember member, long nowNanos) {
        write(GatewayKeys.memberKey(member.id().name()), FleetCodec.member(member), nowNanos);
    }

    private void write(String key, byte[] value, long nowNanos) {
        intended.put(key, value);
        put(key, value, nowNanos);
    }

    private void put(String key, byte[] value, long nowNanos) {
        keepCopy(nowNanos);
        revision++;
        entries.put(key, new Entry(key, value, position()));
    }

    private void remove(String key, long nowNanos) {
        keepCopy(nowNanos);
        if (entries.remove(key) != null) {
            revision++;
        }
    }

    private void keepCopy(long nowNanos) {
        copies.put(nowNanos, new Copy(Map.copyOf(entries), revision));
    }

    /** Restores what the store held at an earlier time, and begins a new era. */
    void restore(long asOfNanos, long nowNanos) {
        Map.Entry<Long, Copy> copy = copies.ceilingEntry(asOfNanos);
        keepCopy(nowNanos);
        if (copy != null) {
            entries.clear();
            entries.putAll(copy.getValue().entries());
            revision = copy.getValue().revision();
        }
        era++;
    }

    /** The keys whose writers notice that the store lacks what they wrote. */
    Set<String> outdatedKeys() {
        Set<String> keys = new HashSet<>();
        intended.forEach((key, value) -> {
            Entry entry = entries.get(key);
            if (entry == null || !java.util.Arrays.equals(entry.value(), value)) {
                keys.add(key);
            }
        });
        return keys;
    }

    /** Writes a key again, as its writer does after the store has come back older. */
    void writeAgain(String key, long nowNanos) {
        byte[] value = intended.get(key);
        if (value != null) {
            put(key, value, nowNanos);
        }
    }

    /** Removes the entries of servers that have ended, as their leases do after a time of silence. */
    void expireEnded(long nowNanos) {
        for (String key : List.copyOf(entries.keySet())) {
            if (key.startsWith("servers/") && !intended.containsKey(key)) {
                remove(key, nowNanos);
            }
        }
    }

    ReadResult.Found read(String prefix) {
        List<Entry> found = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (key.startsWith(prefix)) {
                found.add(entry);
            }
        });
        return new ReadResult.Found(found, position());
    }

    private static String serverKey(int server) {
        return String.format("servers/i-%03d", server);
    }

    static String serverName(int server) {
        return serverKey(server).substring("servers/".length());
    }

    static boolean isLeaving(Entry registration) {
        return registration.value()[0] == LEAVING;
    }
}
