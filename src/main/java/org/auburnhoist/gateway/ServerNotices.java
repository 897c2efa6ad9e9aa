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
    private static final int MOST_RUNS = 20_000;

    /** Stands for the birth of a server that is not registered yet as far as this host knows. */
    static final long UNKNOWN_BIRTH = -1;

    /** One run of a server. */
    private record Run(String server, long bornMillis) {}

    /** What a run said last. */
    private record Closed(boolean leaving, boolean paused, long pausedUntilNanos) {
        boolean isClosed(long nowNanos) {
            return leaving || (paused && pausedUntilNanos - nowNanos > 0);
        }
    }

    private final Map<Run, Closed> runs = new ConcurrentHashMap<>();

    /** Takes in a notice. */
    void noticed(String server, long bornMillis, ServerNotice notice, long nowNanos) {
        if (runs.size() >= MOST_RUNS) {
            Event.named("server-notice-dropped")
                    .with("server", server)
                    .with("kept", runs.size())
                    .warn();
            return;
        }
        Event.named("server-notice")
                .with("server", server)
                .with("leaving", notice.leaving())
                .with("pause_millis", notice.pauseMillis())
                .log();
        long until = nowNanos + notice.pauseMillis() * MILLI;
        Closed said = new Closed(notice.leaving(), notice.pauseMillis() > 0, until);
        runs.merge(new Run(server, bornMillis), said, ServerNotices::both);
    }

    private static Closed both(Closed one, Closed other) {
        boolean later = !one.paused() || (other.paused() && other.pausedUntilNanos() - one.pausedUntilNanos() > 0);
        Closed pause = later ? other : one;
        return new Closed(one.leaving() || other.leaving(), pause.paused(), pause.pausedUntilNanos());
    }

    /** Whether a run of a server wants no request of this host now. */
    boolean isClosed(String server, long bornMillis, long nowNanos) {
        Closed said = said(server, bornMillis);
        return said != null && said.isClosed(nowNanos);
    }

    private @Nullable Closed said(String server, long bornMillis) {
        Closed said = runs.get(new Run(server, bornMillis));
        return said != null ? said : runs.get(new Run(server, UNKNOWN_BIRTH));
    }

    /** The servers that want no request of this host now. */
    List<String> closedAmong(List<UpstreamServer> servers, long nowNanos) {
        if (runs.isEmpty()) {
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
                .map(server -> said(server.id(), server.startedMillis()))
                .filter(said -> said != null && !said.leaving())
                .mapToLong(said -> Math.max(1, (said.pausedUntilNanos() - nowNanos + MILLI - 1) / MILLI))
                .min()
                .orElse(whenNone);
    }

    /** Forgets pauses that are over, and runs of servers that have come back as new runs. */
    void forget(List<UpstreamServer> registered, long nowNanos) {
        runs.entrySet().removeIf(entry -> !entry.getValue().isClosed(nowNanos));
        Map<String, Long> births = new HashMap<>();
        registered.forEach(server -> births.put(server.id(), server.startedMillis()));
        for (Map.Entry<Run, Closed> entry : runs.entrySet()) {
            Run run = entry.getKey();
            Long born = births.get(run.server());
            if (born != null && born != run.bornMillis()) {
                runs.remove(run);
                if (run.bornMillis() == UNKNOWN_BIRTH) {
                    runs.merge(new Run(run.server(), born), entry.getValue(), ServerNotices::both);
                }
            }
        }
    }
}
