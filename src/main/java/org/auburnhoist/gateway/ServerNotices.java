package org.auburnhoist.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BinaryOperator;
import org.auburnhoist.core.dispatch.LatestLimit;
import org.auburnhoist.core.message.ReportedLimit;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Notices in which servers asked this host for no further requests, for good or for a pause, or for fewer.
 *
 * <p>A leaving server stays closed until it is registered as a new incarnation; a paused one is open again when its
 * pause has ended. Thread-safe, because a request is checked directly before it is sent.
 */
final class ServerNotices {
    private static final long MILLI = 1_000_000L;
    /** More than the servers of a fleet at the target size; bounds the memory that notices can take. */
    private static final int MAX_INCARNATIONS = 20_000;

    /** Bounds the size of a slot request. */
    private static final int MAX_REPORTED_LIMITS = 32;
    /** Age at which a limit is forgotten, so that a host that nobody tells of its withdrawal asks the server again. */
    private static final long MAX_LIMIT_AGE_NANOS = 60_000 * MILLI;

    /** Start time of a server whose registration this host has not seen yet. */
    static final long UNKNOWN_START = -1;

    /** One incarnation of a server, identified by its start time. */
    private record Incarnation(String server, long startedMillis) {}

    /** Merged notices of an incarnation. */
    private record ClosedState(boolean leaving, boolean paused, long pausedUntilNanos) {
        boolean isClosed(long nowNanos) {
            return leaving || (paused && pausedUntilNanos - nowNanos > 0);
        }
    }

    private final Map<Incarnation, ClosedState> closedStates = new ConcurrentHashMap<>();
    /** The servers that have named a limit. */
    private final Map<Incarnation, LatestLimit> limits = new ConcurrentHashMap<>();

    /** Merges a notice into the state of an incarnation. */
    void record(String server, long startedMillis, ServerNotice notice, long nowNanos) {
        if (closedStates.size() >= MAX_INCARNATIONS) {
            logDropped(server, closedStates.size());
            return;
        }
        Event.named("server-notice")
                .with("server", server)
                .with("leaving", notice.leaving())
                .with("pause_millis", notice.pauseMillis())
                .log();
        long until = nowNanos + notice.pauseMillis() * MILLI;
        ClosedState state = new ClosedState(notice.leaving(), notice.pauseMillis() > 0, until);
        closedStates.merge(new Incarnation(server, startedMillis), state, ServerNotices::merge);
    }

    /**
     * Records what an answer says about the rate of requests that its server accepts from all hosts together.
     *
     * @param grantedNanos when the request was granted
     */
    void recordLimit(String server, long startedMillis, StatedLimit stated, long grantedNanos, long nowNanos) {
        Incarnation incarnation = new Incarnation(server, startedMillis);
        LatestLimit previous = limits.getOrDefault(incarnation, LatestLimit.UNKNOWN);
        if (!stated.isLimited() && !previous.limit().isLimited()) {
            return;
        }
        if (!previous.limit().isLimited() && limits.size() >= MAX_INCARNATIONS) {
            logDropped(server, limits.size());
            return;
        }
        LatestLimit latest = limits.compute(
                incarnation,
                (key, known) -> (known == null ? LatestLimit.UNKNOWN : known).after(stated, grantedNanos, nowNanos));
        if (!latest.limit().equals(previous.limit())) {
            Event.named("server-limit")
                    .with("server", server)
                    .with("requests_per_second", latest.limit())
                    .with("previous", previous.limit())
                    .log();
        }
    }

    /** The limits that some servers have named to this host, latest first, as many as one request reports. */
    List<ReportedLimit> limitsAmong(List<UpstreamServer> servers, long nowNanos) {
        if (limits.isEmpty()) {
            return List.of();
        }
        List<ReportedLimit> reported = new ArrayList<>();
        for (UpstreamServer server : servers) {
            LatestLimit latest = limits.get(new Incarnation(server.id(), server.startedMillis()));
            if (latest != null && latest.limit().isLimited()) {
                long ageMillis = Math.max(0, nowNanos - latest.receivedNanos()) / MILLI;
                reported.add(new ReportedLimit(
                        server.id(), server.startedMillis(), latest.limit().requestsPerSecond(), ageMillis));
            }
        }
        reported.sort(Comparator.comparingLong(ReportedLimit::ageMillis));
        return reported.size() <= MAX_REPORTED_LIMITS ? reported : reported.subList(0, MAX_REPORTED_LIMITS);
    }

    private static void logDropped(String server, int kept) {
        Event.named("server-notice-dropped")
                .with("server", server)
                .with("kept", kept)
                .warn();
    }

    private static ClosedState merge(ClosedState one, ClosedState other) {
        boolean later = !one.paused() || (other.paused() && other.pausedUntilNanos() - one.pausedUntilNanos() > 0);
        ClosedState pause = later ? other : one;
        return new ClosedState(one.leaving() || other.leaving(), pause.paused(), pause.pausedUntilNanos());
    }

    /** Whether an incarnation of a server accepts no request of this host now. */
    boolean isClosed(String server, long startedMillis, long nowNanos) {
        ClosedState state = closedStateOf(server, startedMillis);
        return state != null && state.isClosed(nowNanos);
    }

    private @Nullable ClosedState closedStateOf(String server, long startedMillis) {
        ClosedState state = closedStates.get(new Incarnation(server, startedMillis));
        return state != null ? state : closedStates.get(new Incarnation(server, UNKNOWN_START));
    }

    /** The servers that accept no request of this host now. */
    List<String> closedAmong(List<UpstreamServer> servers, long nowNanos) {
        if (closedStates.isEmpty()) {
            return List.of();
        }
        return servers.stream()
                .filter(server -> isClosed(server.id(), server.startedMillis(), nowNanos))
                .map(UpstreamServer::id)
                .toList();
    }

    /**
     * Milliseconds until the first of some servers, all of them closed, accepts requests again.
     *
     * @param defaultMillis returned if all of them are leaving
     */
    long millisUntilOpen(List<UpstreamServer> servers, long nowNanos, long defaultMillis) {
        return servers.stream()
                .map(server -> closedStateOf(server.id(), server.startedMillis()))
                .filter(state -> state != null && !state.leaving())
                .mapToLong(state -> Math.max(1, (state.pausedUntilNanos() - nowNanos + MILLI - 1) / MILLI))
                .min()
                .orElse(defaultMillis);
    }

    /**
     * Removes pauses that have ended, limits that were withdrawn or last named long ago, and incarnations of servers
     * that are registered as new incarnations.
     */
    void removeExpired(List<UpstreamServer> registered, long nowNanos) {
        closedStates.entrySet().removeIf(entry -> !entry.getValue().isClosed(nowNanos));
        limits.values()
                .removeIf(
                        known -> !known.limit().isLimited() || nowNanos - known.receivedNanos() > MAX_LIMIT_AGE_NANOS);
        Map<String, Long> startTimes = new HashMap<>();
        registered.forEach(server -> startTimes.put(server.id(), server.startedMillis()));
        removeEarlierIncarnations(closedStates, startTimes, ServerNotices::merge);
        removeEarlierIncarnations(
                limits, startTimes, (one, other) -> one.receivedNanos() - other.receivedNanos() > 0 ? one : other);
    }

    private static <T> void removeEarlierIncarnations(
            Map<Incarnation, T> states, Map<String, Long> startTimes, BinaryOperator<T> merging) {
        for (Map.Entry<Incarnation, T> entry : states.entrySet()) {
            Incarnation incarnation = entry.getKey();
            Long startedMillis = startTimes.get(incarnation.server());
            if (startedMillis != null && startedMillis != incarnation.startedMillis()) {
                states.remove(incarnation);
                if (incarnation.startedMillis() == UNKNOWN_START) {
                    states.merge(new Incarnation(incarnation.server(), startedMillis), entry.getValue(), merging);
                }
            }
        }
    }
}
