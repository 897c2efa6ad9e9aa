package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.core.routing.UpstreamServer;

/** The rates of requests that the servers of one service accept, as stated in their answers. Not thread-safe. */
final class ServerLimits {
    private final Map<String, Entry> entries = new HashMap<>();
    private final List<LimitChange> changes = new ArrayList<>();

    private static final class Entry {
        final long serverStartedMillis;
        LatestLimit latest = LatestLimit.UNKNOWN;
        /** Number of requests granted since the limit last changed. */
        long grantedSinceChange;

        Entry(long serverStartedMillis) {
            this.serverStartedMillis = serverStartedMillis;
        }
    }

    /** Applies a new list of the registered servers; a new incarnation of a server has stated nothing. */
    void updateServers(List<UpstreamServer> registered) {
        Map<String, Entry> next = new HashMap<>();
        for (UpstreamServer server : registered) {
            Entry entry = entries.get(server.id());
            boolean sameIncarnation = entry != null && entry.serverStartedMillis == server.startedMillis();
            next.put(server.id(), sameIncarnation ? entry : new Entry(server.startedMillis()));
        }
        entries.clear();
        entries.putAll(next);
    }

    /** Records that a request was granted to a server. */
    void recordGrant(String server) {
        Entry entry = entries.get(server);
        if (entry != null) {
            entry.grantedSinceChange++;
        }
    }

    /**
     * Records what an answer of a server says about its limit.
     *
     * @param grantedNanos when the request was granted
     * @param nowNanos when the answer was received
     */
    void recordAnswer(String server, StatedLimit stated, long grantedNanos, long nowNanos) {
        Entry entry = entries.get(server);
        if (entry == null) {
            return;
        }
        StatedLimit previous = entry.latest.limit();
        entry.latest = entry.latest.after(stated, grantedNanos, nowNanos);
        StatedLimit current = entry.latest.limit();
        if (current.requestsPerSecond() != previous.requestsPerSecond()) {
            changes.add(new LimitChange(server, current, previous, entry.grantedSinceChange));
            entry.grantedSinceChange = 0;
        }
    }

    /** Returns the changes of limits since the last call. */
    List<LimitChange> drainChanges() {
        List<LimitChange> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }
}
