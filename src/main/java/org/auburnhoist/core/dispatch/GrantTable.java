package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.jspecify.annotations.Nullable;

/** All grants in use, with exact counts per server, class and fingerprint. */
final class GrantTable {
    private final Map<Long, Grant> grants = new HashMap<>();
    private final Map<String, Map<Long, Grant>> byServer = new HashMap<>();
    private final Map<String, Map<TrafficClass, Integer>> byServerAndClass = new HashMap<>();
    private final Map<TrafficClass, Integer> byClass = new EnumMap<>(TrafficClass.class);
    private final Map<Long, Integer> byFingerprint = new HashMap<>();
    private long nextId;

    /** Creates an empty table; {@code firstId} is random, so that ids of an earlier dispatcher match no grant. */
    GrantTable(long firstId) {
        nextId = firstId & Long.MAX_VALUE;
    }

    Grant add(WaitingRequest waiting, String server, long nowNanos, long expiresNanos) {
        nextId = nextId == Long.MAX_VALUE ? 1 : nextId + 1;
        Grant grant = new Grant(
                nextId,
                server,
                waiting.requestingHost(),
                waiting.request().trafficClass(),
                waiting.request().fingerprint(),
                nowNanos,
                expiresNanos);
        grants.put(grant.id(), grant);
        byServer.computeIfAbsent(server, name -> new HashMap<>()).put(grant.id(), grant);
        updateCounts(grant, 1);
        return grant;
    }

    /** Removes the grant if the host holds it; otherwise returns null. */
    @Nullable
    Grant release(long id, HostId host) {
        Grant grant = grants.get(id);
        if (grant == null || !grant.host().equals(host)) {
            return null;
        }
        grants.remove(id);
        removeFromIndexes(grant);
        return grant;
    }

    List<Grant> removeIf(Predicate<Grant> condition) {
        List<Grant> removed = new ArrayList<>();
        grants.values().removeIf(grant -> condition.test(grant) && removed.add(grant));
        removed.forEach(this::removeFromIndexes);
        return removed;
    }

    /** The grants in use on a server, as a live view of the table. */
    Collection<Grant> onServer(String server) {
        return byServer.getOrDefault(server, Map.of()).values();
    }

    /** The server of a grant in use, or an empty string. */
    String serverOf(long id) {
        Grant grant = grants.get(id);
        return grant == null ? "" : grant.server();
    }

    int size() {
        return grants.size();
    }

    int used(String server) {
        return byServer.getOrDefault(server, Map.of()).size();
    }

    int used(String server, TrafficClass trafficClass) {
        return byServerAndClass.getOrDefault(server, Map.of()).getOrDefault(trafficClass, 0);
    }

    int used(TrafficClass trafficClass) {
        return byClass.getOrDefault(trafficClass, 0);
    }

    int usedBy(long fingerprint) {
        return byFingerprint.getOrDefault(fingerprint, 0);
    }

    private void removeFromIndexes(Grant grant) {
        byServer.computeIfPresent(grant.server(), (server, serverGrants) -> {
            serverGrants.remove(grant.id());
            return serverGrants.isEmpty() ? null : serverGrants;
        });
        updateCounts(grant, -1);
    }

    private void updateCounts(Grant grant, int change) {
        add(byClass, grant.trafficClass(), change);
        add(byFingerprint, grant.fingerprint(), change);
        Map<TrafficClass, Integer> classes =
                byServerAndClass.computeIfAbsent(grant.server(), server -> new EnumMap<>(TrafficClass.class));
        add(classes, grant.trafficClass(), change);
        if (classes.isEmpty()) {
            byServerAndClass.remove(grant.server());
        }
    }

    private static <K> void add(Map<K, Integer> counts, K key, int change) {
        counts.compute(key, (same, count) -> {
            int sum = (count == null ? 0 : count) + change;
            return sum == 0 ? null : sum;
        });
    }
}
