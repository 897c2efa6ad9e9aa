package org.auburnhoist.core.dispatch;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Detects requests that crash servers, and quarantines them.
 *
 * <p>When a server crashes, each request in flight on it becomes a suspect of that crash. A request that later
 * completes with a response is no longer a suspect of any crash. A fingerprint is quarantined if it is the only common
 * suspect of at least 3 crashes on at least 2 servers.
 */
public final class Quarantine {
    /** Minimum number of crashes after which a request is quarantined. */
    public static final int MIN_CRASHES = 3;

    private static final int MIN_SERVERS = 2;
    private static final int MAX_CRASHES_KEPT = 64;
    private static final long RETENTION_NANOS = 600_000_000_000L;

    /** A crash of a server. */
    private static final class Crash {
        final String server;
        final long atNanos;
        final Set<Long> suspects;
        final Set<Long> grants;

        Crash(String server, long atNanos, Set<Long> suspects, Set<Long> grants) {
            this.server = server;
            this.atNanos = atNanos;
            this.suspects = suspects;
            this.grants = grants;
        }
    }

    private final Deque<Crash> crashes = new ArrayDeque<>();
    private final Map<Long, Long> quarantinedUntil = new HashMap<>();

    /**
     * Records a lost connection.
     *
     * @param lost the grant whose connection was lost
     * @param inFlight all grants on the same server, with or without the lost one
     * @param nowNanos the current time
     */
    void connectionLost(Grant lost, Collection<Grant> inFlight, long nowNanos) {
        boolean recorded = crashes.stream().anyMatch(crash -> crash.grants.contains(lost.id()));
        if (recorded) {
            return;
        }
        Set<Long> suspects = new HashSet<>();
        Set<Long> grants = new HashSet<>();
        suspects.add(lost.fingerprint());
        grants.add(lost.id());
        for (Grant grant : inFlight) {
            suspects.add(grant.fingerprint());
            grants.add(grant.id());
        }
        crashes.addLast(new Crash(lost.server(), nowNanos, suspects, grants));
        if (crashes.size() > MAX_CRASHES_KEPT) {
            crashes.removeFirst();
        }
        suspects.forEach(suspect -> quarantineIfConclusive(suspect, nowNanos));
    }

    /** Removes a request that completed with a response as a suspect. */
    void completed(long fingerprint, long nowNanos) {
        if (crashes.isEmpty()) {
            return;
        }
        Set<Long> affected = new HashSet<>();
        for (Crash crash : crashes) {
            if (crash.suspects.remove(fingerprint)) {
                affected.addAll(crash.suspects);
            }
        }
        affected.forEach(suspect -> quarantineIfConclusive(suspect, nowNanos));
    }

    private void quarantineIfConclusive(long fingerprint, long nowNanos) {
        int count = 0;
        Set<String> servers = new HashSet<>();
        Set<Long> common = null;
        for (Crash crash : crashes) {
            if (crash.suspects.contains(fingerprint)) {
                count++;
                servers.add(crash.server);
                common = intersection(common, crash.suspects);
            }
        }
        if (count >= MIN_CRASHES && servers.size() >= MIN_SERVERS && common != null && common.size() == 1) {
            quarantinedUntil.put(fingerprint, nowNanos + RETENTION_NANOS);
        }
    }

    private static Set<Long> intersection(@Nullable Set<Long> common, Set<Long> more) {
        if (common == null) {
            return new HashSet<>(more);
        }
        common.retainAll(more);
        return common;
    }

    /** Time in nanoseconds until the request is accepted again, 0 if it is accepted now. */
    public long remainingNanos(long fingerprint, long nowNanos) {
        Long until = quarantinedUntil.get(fingerprint);
        return until == null ? 0 : Math.max(0, until - nowNanos);
    }

    /**
     * Servers of whose crashes the request is a suspect. As long as there are any, at most one copy of the request runs
     * at a time, preferably on other servers.
     */
    public Set<String> crashedServers(long fingerprint) {
        if (crashes.isEmpty()) {
            return Set.of();
        }
        Set<String> servers = new HashSet<>();
        for (Crash crash : crashes) {
            if (crash.suspects.contains(fingerprint)) {
                servers.add(crash.server);
            }
        }
        return servers;
    }

    /** Number of quarantined fingerprints. */
    public int size() {
        return quarantinedUntil.size();
    }

    /** Removes crashes and quarantines that have expired. */
    void removeExpired(long nowNanos) {
        crashes.removeIf(crash -> nowNanos - crash.atNanos > RETENTION_NANOS);
        quarantinedUntil.values().removeIf(until -> nowNanos - until >= 0);
    }
}
