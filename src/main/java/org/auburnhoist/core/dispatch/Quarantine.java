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
 * Finds requests that crash the servers that run them.
 *
 * <p>When a server dies, each request in flight there is a suspect of that death. A request that still ends with an
 * answer is cleared of all deaths. A fingerprint is quarantined if it is the only common suspect of at least 3 deaths
 * on at least 2 servers.
 */
public final class Quarantine {
    /** Deaths that convict a request. */
    public static final int DEATHS = 3;

    private static final int SERVERS = 2;
    private static final int MOST_DEATHS_KEPT = 64;
    private static final long KEEP_NANOS = 600_000_000_000L;

    /** A death of a server. */
    private static final class Death {
        final String server;
        final long atNanos;
        final Set<Long> suspects;
        final Set<Long> grants;

        Death(String server, long atNanos, Set<Long> suspects, Set<Long> grants) {
            this.server = server;
            this.atNanos = atNanos;
            this.suspects = suspects;
            this.grants = grants;
        }
    }

    private final Deque<Death> deaths = new ArrayDeque<>();
    private final Map<Long, Long> quarantinedUntil = new HashMap<>();

    /**
     * Takes in a lost connection.
     *
     * @param lost the grant whose connection was lost
     * @param inFlight all grants on the same server, with or without the lost one
     * @param nowNanos the present time
     */
    void connectionLost(Grant lost, Collection<Grant> inFlight, long nowNanos) {
        boolean known = deaths.stream().anyMatch(death -> death.grants.contains(lost.id()));
        if (known) {
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
        deaths.addLast(new Death(lost.server(), nowNanos, suspects, grants));
        if (deaths.size() > MOST_DEATHS_KEPT) {
            deaths.removeFirst();
        }
        suspects.forEach(suspect -> judge(suspect, nowNanos));
    }

    /** Clears a request that ended with an answer. */
    void survived(long fingerprint, long nowNanos) {
        if (deaths.isEmpty()) {
            return;
        }
        Set<Long> toJudge = new HashSet<>();
        for (Death death : deaths) {
            if (death.suspects.remove(fingerprint)) {
                toJudge.addAll(death.suspects);
            }
        }
        toJudge.forEach(suspect -> judge(suspect, nowNanos));
    }

    private void judge(long fingerprint, long nowNanos) {
        int count = 0;
        Set<String> servers = new HashSet<>();
        Set<Long> common = null;
        for (Death death : deaths) {
            if (death.suspects.contains(fingerprint)) {
                count++;
                servers.add(death.server);
                common = intersection(common, death.suspects);
            }
        }
        if (count >= DEATHS && servers.size() >= SERVERS && common != null && common.size() == 1) {
            quarantinedUntil.put(fingerprint, nowNanos + KEEP_NANOS);
        }
    }

    private static Set<Long> intersection(@Nullable Set<Long> sofar, Set<Long> more) {
        if (sofar == null) {
            return new HashSet<>(more);
        }
        sofar.retainAll(more);
        return sofar;
    }

    /** Time in nanoseconds until the request is accepted again, 0 if it is accepted now. */
    public long remainingNanos(long fingerprint, long nowNanos) {
        Long until = quarantinedUntil.get(fingerprint);
        return until == null ? 0 : Math.max(0, until - nowNanos);
    }

    /**
     * Servers that died while the request ran there. As long as there are any, the request runs one copy at a time and
     * preferably on other servers.
     */
    public Set<String> diedWith(long fingerprint) {
        if (deaths.isEmpty()) {
            return Set.of();
        }
        Set<String> servers = new HashSet<>();
        for (Death death : deaths) {
            if (death.suspects.contains(fingerprint)) {
                servers.add(death.server);
            }
        }
        return servers;
    }

    /** Number of quarantined fingerprints. */
    public int size() {
        return quarantinedUntil.size();
    }

    /** Forgets deaths and quarantines that are over. */
    void forget(long nowNanos) {
        deaths.removeIf(death -> nowNanos - death.atNanos > KEEP_NANOS);
        quarantinedUntil.values().removeIf(until -> nowNanos - until >= 0);
    }
}
