package org.auburnhoist.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * What servers have said to this host about further requests of it.
 *
 * <p>A server that leaves stays closed until it is registered as a new run of itself; one that paused is open again
 * when its time is over. May be used by any thread: a request is checked directly before it is sent.
 */
final class ServerNotices {
    private static final long MILLI = 1_000_000L;
    /** More than the servers of a fleet at the target size; bounds the memory that servers' words can take. */
    private static final int MAX_INCARNATIONS = 20_000;

    /** Stands for the birth of a server that is not registered yet as far as this host knows. */
    static final long UNKNOWN_START = -1;

    /** One run of a server. */
    private record Incarnation(String server, long bornMillis) {}

    /** What a run said last. */
    private record ClosedState(boolean leaving, boolean paused, long pausedUntilNanos) {
        boolean isClosed(long nowNanos) {
            return leaving || (paused && pausedUntilNanos - nowNanos > 0);
        }
    }

    private final Map<Incarnation, ClosedState> closedStates = new ConcurrentHashMap<>();

    /** Takes in a notice. */
    void record(String server, long bornMillis, ServerNotice notice, long nowNanos) {
        if (closedStates.size() >= MAX_INCARNATIONS) {
            Event.named("server-notice-dropped")
                    .with("server", server)
                    .with("kept", closedStates.size())
                    .warn();
            return;
        }
        Event.named("server-notice")
                .with("server", server)
                .with("leaving", notice.leaving())
                .with("pause_millis", notice.pauseMillis())
                .log();
        long until = nowNanos + notice.pauseMillis() * MILLI;
        ClosedState said = new ClosedState(notice.leaving(), notice.pauseMillis() > 0, until);
        closedStates.merge(new Incarnation(server, bornMillis), said, ServerNotices::merge);
    }

    private static ClosedState merge(ClosedState one, ClosedState other) {
        boolean later = !one.paused() || (other.paused() && other.pausedUntilNanos() - one.pausedUntilNanos() > 0);
        ClosedState pause = later ? other : one;
        return new ClosedState(one.leaving() || other.leaving(), pause.paused(), pause.pausedUntilNanos());
    }

    /** Whether a run of a server wants no request of this host now. */
    boolean isClosed(String server, long bornMillis, long nowNanos) {
        ClosedState said = closedStateOf(server, bornMillis);
        return said != null && said.isClosed(nowNanos);
    }

    private @Nullable ClosedState closedStateOf(String server, long bornMillis) {
        ClosedState said = closedStates.get(new Incarnation(server, bornMillis));
        return said != null ? said : closedStates.get(new Incarnation(server, UNKNOWN_START));
    }

    /** The servers that want no request of this host now. */
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
     * Milliseconds until the first of some servers, all of them closed, wants requests again.
     *
     * @param whenNone returned if all of them leave
     */
    long millisUntilOpen(List<UpstreamServer> servers, long nowNanos, long whenNone) {
        return servers.stream()
                .map(server -> closedStateOf(server.id(), server.startedMillis()))
                .filter(said -> said != null && !said.leaving())
                .mapToLong(said -> Math.max(1, (said.pausedUntilNanos() - nowNanos + MILLI - 1) / MILLI))
                .min()
                .orElse(whenNone);
    }

    /** Forgets pauses that are over, and runs of servers that have come back as new runs. */
    void removeExpired(List<UpstreamServer> registered, long nowNanos) {
        closedStates.entrySet().removeIf(entry -> !entry.getValue().isClosed(nowNanos));
        Map<String, Long> births = new HashMap<>();
        registered.forEach(server -> births.put(server.id(), server.startedMillis()));
        for (Map.Entry<Incarnation, ClosedState> entry : closedStates.entrySet()) {
            Incarnation run = entry.getKey();
            Long born = births.get(run.server());
            if (born != null && born != run.bornMillis()) {
                closedStates.remove(run);
                if (run.bornMillis() == UNKNOWN_START) {
                    closedStates.merge(new Incarnation(run.server(), born), entry.getValue(), ServerNotices::merge);
                }
            }
        }
    }
}
