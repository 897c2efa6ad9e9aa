package org.auburnhoist.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Detects requests that crash servers, and quarantines them.
 *
 * <p>When a server crashes, each request in flight on it becomes a suspect of that crash. A request that later
 * completes with a response is no longer a suspect of any crash. A fingerprint is quarantined if it is the only common
 * suspect of at least 3 crashes on at least 2 servers.
 *
 * <p>A host has one quarantine for all services, so that it outlives their dispatchers, and merges the records of other
 * hosts into it. Records of the same crash are merged to the requests that are suspects in both, so that the result
 * does not depend on the order of merges. Not thread-safe.
 */
public final class Quarantine {
    /** Minimum number of crashes after which a request is quarantined. */
    public static final int MIN_CRASHES = 3;

    /** Maximum number of crashes in a record; the earliest are forgotten first. */
    public static final int MAX_CRASHES_KEPT = 64;
    /** Maximum number of requests held back; those that would be accepted first are forgotten first. */
    public static final int MAX_HELD = 64;
    /** A crash with more suspects is not told to other hosts: parts of it could put the blame on the wrong request. */
    public static final int MAX_SUSPECTS_TOLD = 32;

    private static final int MIN_SERVERS = 2;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long RETENTION_NANOS = 600_000 * NANOS_PER_MILLI;
    /** Servers that fall silent within this time have another cause, such as loss of power; entries expire in turn. */
    private static final long COMMON_CAUSE_NANOS = 2_000 * NANOS_PER_MILLI;
    /** Time for which a request is held back if silent servers are a part of the first evidence against it. */
    private static final long SILENCE_HOLD_NANOS = 120_000 * NANOS_PER_MILLI;
    /** What ends within this time is not taken from other hosts, which would return what this host removes. */
    private static final long EXPIRY_MARGIN_NANOS = 5_000 * NANOS_PER_MILLI;
    /** Two dispatchers may each report the same crash within this time. */
    private static final long SAME_CRASH_NANOS = 1_000 * NANOS_PER_MILLI;

    /** A crash of a server. */
    private static final class Crash {
        final long id;
        final String server;
        final long atNanos;
        final Set<Long> suspects;
        final Set<Long> grants;
        final boolean silent;

        Crash(long id, String server, long atNanos, Set<Long> suspects, Set<Long> grants, boolean silent) {
            this.silent = silent;
            this.id = id;
            this.server = server;
            this.atNanos = atNanos;
            this.suspects = suspects;
            this.grants = grants;
        }

        boolean isTold() {
            return suspects.size() <= MAX_SUSPECTS_TOLD;
        }
    }

    /** In the order in which they happened. */
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
        List<Grant> lostGrants = new ArrayList<>(inFlight);
        lostGrants.add(0, lost);
        addCrash(lostGrants, false, nowNanos);
    }

    /**
     * Records that a server fell silent, which counts as a crash.
     *
     * @param had all grants that it had, at least one
     * @param nowNanos the current time
     */
    void fellSilent(Collection<Grant> had, long nowNanos) {
        boolean recorded =
                crashes.stream().anyMatch(crash -> had.stream().anyMatch(grant -> crash.grants.contains(grant.id())));
        if (!recorded) {
            addCrash(had, true, nowNanos);
        }
    }

    private void addCrash(Collection<Grant> had, boolean silent, long nowNanos) {
        Grant first = had.iterator().next();
        Set<Long> suspects = new HashSet<>();
        Set<Long> grants = new HashSet<>();
        for (Grant grant : had) {
            suspects.add(grant.fingerprint());
            grants.add(grant.id());
        }
        crashes.addLast(new Crash(first.id(), first.server(), nowNanos, suspects, grants, silent));
        if (crashes.size() > MAX_CRASHES_KEPT) {
            crashes.removeFirst();
        }
        Set.copyOf(suspects).forEach(suspect -> quarantineIfConclusive(suspect, nowNanos));
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
        Map<String, Long> lastOfServer = new HashMap<>();
        @Nullable Crash lastSilent = null;
        long latestNanos = nowNanos;
        Set<Long> common = null;
        for (Crash crash : crashes) {
            if (crash.suspects.contains(fingerprint)) {
                latestNanos = crash.atNanos;
                Long last = lastOfServer.put(crash.server, crash.atNanos);
                boolean sameCrash = last != null && crash.atNanos - last <= SAME_CRASH_NANOS;
                boolean commonCause =
                        crash.silent && lastSilent != null && crash.atNanos - lastSilent.atNanos <= COMMON_CAUSE_NANOS;
                lastSilent = crash.silent ? crash : lastSilent;
                count += sameCrash || commonCause ? 0 : 1;
                common = intersection(common, crash.suspects);
            }
        }
        if (count >= MIN_CRASHES && lastOfServer.size() >= MIN_SERVERS && common != null && common.size() == 1) {
            // One trial after the shorter time lets an innocent request go; if it fails too, there are more crashes.
            long holdNanos = lastSilent != null && count == MIN_CRASHES ? SILENCE_HOLD_NANOS : RETENTION_NANOS;
            if (latestNanos + holdNanos - nowNanos > 0) {
                hold(fingerprint, latestNanos + holdNanos);
            }
        }
    }

    private void hold(long fingerprint, long untilNanos) {
        quarantinedUntil.put(fingerprint, untilNanos);
        if (quarantinedUntil.size() > MAX_HELD) {
            quarantinedUntil.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue() - untilNanos))
                    .ifPresent(first -> quarantinedUntil.remove(first.getKey()));
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

    /** Returns what other hosts have to know, with at most {@link #MAX_CRASHES_KEPT} crashes. */
    public CrashRecord record(long nowNanos) {
        removeExpired(nowNanos);
        List<CrashRecord.Crash> told = crashes.stream()
                .filter(Crash::isTold)
                .map(crash -> new CrashRecord.Crash(
                        crash.id,
                        crash.server,
                        (nowNanos - crash.atNanos) / NANOS_PER_MILLI,
                        crash.silent,
                        crash.suspects.stream().sorted().toList()))
                .toList();
        List<CrashRecord.HeldRequest> held = quarantinedUntil.keySet().stream()
                .sorted()
                .map(fingerprint -> new CrashRecord.HeldRequest(
                        fingerprint, remainingNanos(fingerprint, nowNanos) / NANOS_PER_MILLI))
                .toList();
        return new CrashRecord(told, held);
    }

    /** Hash of the record without its times; equal for hosts that know the same. */
    public long recordHash(long nowNanos) {
        removeExpired(nowNanos);
        long hash = 0;
        for (Crash crash : crashes) {
            hash += crash.isTold() ? mixed(crash.id) ^ mixed(1 + crash.suspects.hashCode()) : 0;
        }
        for (long fingerprint : quarantinedUntil.keySet()) {
            hash += mixed(fingerprint + 1);
        }
        return hash;
    }

    private static long mixed(long value) {
        long product = value * 0x9e3779b97f4a7c15L;
        return (product ^ (product >>> 29)) * 0xbf58476d1ce4e5b9L;
    }

    /** Adds what another host knows, as of now. */
    public void merge(CrashRecord other, long nowNanos) {
        Set<Long> affected = new HashSet<>();
        for (CrashRecord.Crash told : other.crashes()) {
            Crash known = crashes.stream()
                    .filter(crash -> crash.id == told.id())
                    .findFirst()
                    .orElse(null);
            long ageNanos = told.ageMillis() * NANOS_PER_MILLI;
            if (known != null) {
                known.suspects.retainAll(Set.copyOf(told.suspects()));
                affected.addAll(known.suspects);
            } else if (ageNanos < RETENTION_NANOS - EXPIRY_MARGIN_NANOS) {
                Set<Long> suspects = new HashSet<>(told.suspects());
                insert(new Crash(
                        told.id(), told.server(), nowNanos - ageNanos, suspects, Set.of(told.id()), told.silent()));
                affected.addAll(suspects);
            }
        }
        for (CrashRecord.HeldRequest told : other.held()) {
            long remainingNanos = Math.min(RETENTION_NANOS, told.remainingMillis() * NANOS_PER_MILLI);
            if (remainingNanos > remainingNanos(told.fingerprint(), nowNanos) + EXPIRY_MARGIN_NANOS) {
                hold(told.fingerprint(), nowNanos + remainingNanos);
            }
        }
        affected.stream()
                .filter(suspect -> remainingNanos(suspect, nowNanos) == 0)
                .forEach(suspect -> quarantineIfConclusive(suspect, nowNanos));
    }

    private void insert(Crash crash) {
        List<Crash> ordered = new ArrayList<>(crashes);
        ordered.add(crash);
        ordered.sort(Comparator.comparingLong(entry -> entry.atNanos - crash.atNanos));
        crashes.clear();
        crashes.addAll(ordered.subList(Math.max(0, ordered.size() - MAX_CRASHES_KEPT), ordered.size()));
    }

    /** Removes crashes and quarantines that have expired. */
    void removeExpired(long nowNanos) {
        crashes.removeIf(crash -> nowNanos - crash.atNanos > RETENTION_NANOS);
        quarantinedUntil.values().removeIf(until -> nowNanos - until >= 0);
    }
}
