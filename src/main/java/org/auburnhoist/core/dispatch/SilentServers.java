package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.routing.UpstreamServer;
import org.jspecify.annotations.Nullable;

/**
 * Tells a server that has fallen silent from a cut path and from a slow server.
 *
 * <p>A server is silent if a request of it timed out, it answered nothing in the second half of that request's time nor
 * later, and its entry is gone, or shows a later start, although it did not announce that it leaves. A server on a cut
 * path keeps its entry, and a slow one answers others. Not thread-safe.
 */
final class SilentServers {
    /** Time after a request's timeout in which its server's entry must vanish; entries expire after seconds. */
    private static final long ENTRY_EXPIRY_NANOS = 15_000_000_000L;
    /** Time for which ends of servers and their last answers are known, longer than a request may take. */
    private static final long RETENTION_NANOS = 60_000_000_000L;

    /** A silence that its entry's end would confirm. */
    private static final class Silence {
        final List<Grant> grants = new ArrayList<>();
        final Set<Long> grantIds = new HashSet<>();
        long atNanos;
    }

    /**
     * What was found out about a server.
     *
     * @param server the server's ID
     * @param silent whether it is silent
     * @param grants the requests that it had
     * @param reason what showed it
     */
    record Finding(String server, boolean silent, List<Grant> grants, String reason) {
        Finding {
            grants = List.copyOf(grants);
        }
    }

    private final Map<String, UpstreamServer> registered = new HashMap<>();
    private final Map<String, Long> endedAt = new HashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    private final Map<String, Silence> silences = new HashMap<>();

    /** Records an answer of a server, whatever it says. */
    @Nullable
    Finding answered(String server, long nowNanos) {
        answeredAt.put(server, nowNanos);
        Silence silence = silences.remove(server);
        return silence == null ? null : new Finding(server, false, silence.grants, "slow: it answers other requests");
    }

    /**
     * Records a request without an answer.
     *
     * @param lost its grant
     * @param inFlight the other grants on the server
     * @param nowNanos the current time
     * @return what this shows, null if that is still open
     */
    @Nullable
    Finding timedOut(Grant lost, Collection<Grant> inFlight, long nowNanos) {
        String server = lost.server();
        Long answered = answeredAt.get(server);
        long halfNanos = lost.grantedNanos() + (nowNanos - lost.grantedNanos()) / 2;
        if (answered != null && answered - halfNanos >= 0) {
            return new Finding(server, false, List.of(lost), "slow: it answered other requests meanwhile");
        }
        Silence silence = silences.computeIfAbsent(server, id -> new Silence());
        silence.atNanos = nowNanos;
        add(silence, lost);
        inFlight.forEach(grant -> add(silence, grant));
        Long ended = endedAt.get(server);
        return ended != null && ended - lost.grantedNanos() >= 0 ? confirm(server, silence) : null;
    }

    private static void add(Silence silence, Grant grant) {
        if (silence.grantIds.add(grant.id())) {
            silence.grants.add(grant);
        }
    }

    private Finding confirm(String server, Silence silence) {
        silences.remove(server);
        return new Finding(server, true, silence.grants, "silent: its entry is gone and it answered nothing");
    }

    /** Applies a new list of the registered servers, and returns what it shows. */
    List<Finding> updateServers(List<UpstreamServer> servers, long nowNanos) {
        Map<String, UpstreamServer> next = new HashMap<>();
        servers.forEach(server -> next.put(server.id(), server));
        List<Finding> findings = new ArrayList<>();
        registered.forEach((id, earlier) -> {
            UpstreamServer later = next.get(id);
            if (later == null || later.startedMillis() != earlier.startedMillis()) {
                Silence silence = silences.get(id);
                if (earlier.leaving()) {
                    silences.remove(id);
                } else {
                    endedAt.put(id, nowNanos);
                    if (silence != null) {
                        findings.add(confirm(id, silence));
                    }
                }
            }
        });
        registered.clear();
        registered.putAll(next);
        return findings;
    }

    /** Removes what is too old, and returns what this shows. */
    List<Finding> removeExpired(long nowNanos) {
        endedAt.values().removeIf(at -> nowNanos - at > RETENTION_NANOS);
        answeredAt.values().removeIf(at -> nowNanos - at > RETENTION_NANOS);
        List<Finding> findings = new ArrayList<>();
        silences.entrySet().removeIf(entry -> {
            boolean expired = nowNanos - entry.getValue().atNanos > ENTRY_EXPIRY_NANOS;
            if (expired) {
                findings.add(new Finding(
                        entry.getKey(), false, entry.getValue().grants, "cut path: its entry is still there"));
            }
            return expired;
        });
        return findings;
    }
}
