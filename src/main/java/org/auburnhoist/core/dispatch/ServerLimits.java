package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.limit.QuotaBucket;
import org.auburnhoist.core.message.ReportedLimit;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.core.routing.UpstreamServer;
import org.jspecify.annotations.Nullable;

/**
 * The rates of requests that the servers of one service accept from all hosts together, as far as they have named any,
 * and the tokens that this dispatcher may grant of each.
 *
 * <p>A bucket starts empty, because another dispatcher may have granted requests a moment before. Not thread-safe.
 */
final class ServerLimits {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** A server that is asked less often than this could not withdraw its limit within seconds. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.2;
    /** Time for which tokens are saved besides the first one; waiting requests are considered every 100 ms. */
    private static final double SAVED_SECONDS = 0.1;

    private final Map<String, Entry> entries = new HashMap<>();
    private final List<LimitChange> changes = new ArrayList<>();
    private int limitedServers;
    private double share = 1;

    private static final class Entry {
        final long serverStartedMillis;
        LatestLimit latest = LatestLimit.UNKNOWN;
        /** Present while a limit is in force. */
        @Nullable
        QuotaBucket tokens;
        /** Number of requests granted since the limit last changed. */
        long grantedSinceChange;

        Entry(long serverStartedMillis) {
            this.serverStartedMillis = serverStartedMillis;
        }
    }

    /**
     * Sets which share of each limit this dispatcher may grant.
     *
     * @param newShare from 0 to 1
     */
    void updateShare(double newShare) {
        share = newShare;
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
        countLimitedServers();
    }

    private void countLimitedServers() {
        limitedServers = (int)
                entries.values().stream().filter(entry -> entry.tokens != null).count();
    }

    /**
     * Records what an answer of a server says about its limit.
     *
     * @param grantedNanos when the request was granted
     * @param nowNanos when the answer was received
     */
    void recordAnswer(String server, StatedLimit stated, long grantedNanos, long nowNanos) {
        Entry entry = entries.get(server);
        if (entry != null) {
            update(server, entry, entry.latest.after(stated, grantedNanos, nowNanos), nowNanos);
        }
    }

    /**
     * Records a limit that a server has named to another host, perhaps while another dispatcher was in charge. It only
     * restricts: that a server has raised or withdrawn its limit is learned from its next answer.
     */
    void recordReport(ReportedLimit report, long nowNanos) {
        Entry entry = entries.get(report.server());
        if (entry == null || entry.serverStartedMillis != report.serverStartedMillis()) {
            return;
        }
        long receivedNanos = nowNanos - report.ageMillis() * NANOS_PER_MILLI;
        LatestLimit known = entry.latest;
        boolean outdated = known.limit().kind() != StatedLimit.Kind.UNKNOWN && receivedNanos <= known.receivedNanos();
        if (!outdated && report.limit().isStricterThan(known.limit())) {
            update(report.server(), entry, new LatestLimit(report.limit(), receivedNanos), nowNanos);
        }
    }

    private void update(String server, Entry entry, LatestLimit latest, long nowNanos) {
        StatedLimit previous = entry.latest.limit();
        StatedLimit current = latest.limit();
        entry.latest = latest;
        if (current.requestsPerSecond() == previous.requestsPerSecond()) {
            return;
        }
        if (!current.isLimited()) {
            entry.tokens = null;
        } else if (entry.tokens == null) {
            entry.tokens = new QuotaBucket(0, nowNanos);
        }
        changes.add(new LimitChange(server, current, previous, entry.grantedSinceChange));
        entry.grantedSinceChange = 0;
        countLimitedServers();
    }

    /** Number of servers that have named a limit. */
    int limitedCount() {
        return limitedServers;
    }

    /** Whether a server has named a limit. */
    boolean isLimited(String server) {
        return limitedEntry(server) != null;
    }

    private @Nullable Entry limitedEntry(String server) {
        Entry entry = limitedServers == 0 ? null : entries.get(server);
        return entry == null || entry.tokens == null ? null : entry;
    }

    private @Nullable QuotaBucket tokensOf(String server) {
        Entry entry = limitedEntry(server);
        return entry == null ? null : entry.tokens;
    }

    /** Whether a server's limit allows this dispatcher to grant it a request now. */
    boolean allowsRequest(String server, long nowNanos) {
        QuotaBucket tokens = tokensOf(server);
        return tokens == null || (share > 0 && tokens.hasToken(rate(server), capacity(server), nowNanos));
    }

    /** Records that a request was granted to a server. */
    void recordGrant(String server, long nowNanos) {
        Entry entry = entries.get(server);
        if (entry == null) {
            return;
        }
        entry.grantedSinceChange++;
        if (entry.tokens != null) {
            entry.tokens.tryAcquire(rate(server), capacity(server), nowNanos);
        }
    }

    /** Requests a second that this dispatcher may grant to a server; infinite without a limit. */
    double rate(String server) {
        Entry entry = limitedEntry(server);
        return entry == null
                ? Double.POSITIVE_INFINITY
                : share * Math.max(MIN_REQUESTS_PER_SECOND, entry.latest.limit().requestsPerSecond());
    }

    private double capacity(String server) {
        return 1 + SAVED_SECONDS * rate(server);
    }

    /** Seconds until a server's limit allows this dispatcher to grant it a request; infinite if it never does. */
    double secondsUntilAllowed(String server, long nowNanos) {
        QuotaBucket tokens = tokensOf(server);
        if (tokens == null || allowsRequest(server, nowNanos)) {
            return 0;
        }
        return share > 0 ? tokens.secondsUntilToken(rate(server)) : Double.POSITIVE_INFINITY;
    }

    /** Returns the changes of limits since the last call. */
    List<LimitChange> drainChanges() {
        List<LimitChange> drained = List.copyOf(changes);
        changes.clear();
        return drained;
    }
}
