package org.auburnhoist.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Detects servers that fail during short episodes of a few seconds while their health checks pass.
 *
 * <p>A healthy server fails about one request in a hundred, and a server in a failure episode fails most requests, so a
 * single failure is already strong evidence. A server is therefore avoided from its first failure on. The duration
 * adapts: it grows when the next request to the server, the probe, fails again and shrinks slowly when it succeeds, so
 * that about one probe in ten fails. Failures to reach a server count against the path from the reporting host, unless
 * two hosts report them.
 */
final class TransientFailureDetector {
    /** Status of a server according to its outcomes. */
    enum Status {
        /** No known problem. */
        HEALTHY,
        /** The avoidance time is over; the next request is a probe. */
        PROBE,
        /** Responses take much longer than usual for requests of the class. */
        SLOW,
        /** Failed a short time ago. */
        AVOIDED
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Initial avoidance time after a failure; later adapted by the results of the probes. */
    private static final long INITIAL_AVOIDANCE_NANOS = 3_500 * NANOS_PER_MILLI;

    private static final long MIN_AVOIDANCE_NANOS = 1_000 * NANOS_PER_MILLI;
    /** A longer avoidance time would leave too few servers to a service whose servers fail in turn. */
    private static final long MAX_AVOIDANCE_NANOS = 8_000 * NANOS_PER_MILLI;
    /** With these two factors about one probe in ten fails in the long run: 1.25^0.12 x 0.97^0.88 = 1. */
    private static final double GROWTH_ON_FAILED_PROBE = 1.25;

    private static final double DECAY_ON_SUCCESSFUL_PROBE = 0.97;
    /** An overloaded server has free slots again after about the duration of one request. */
    private static final long OVERLOAD_AVOIDANCE_NANOS = 300 * NANOS_PER_MILLI;
    /** Network paths stay interrupted for seconds; each further failure doubles this time. */
    private static final long PATH_AVOIDANCE_NANOS = 2_000 * NANOS_PER_MILLI;

    private static final int MAX_PATH_DOUBLINGS = 2;
    /** If two hosts cannot reach a server within this time, the failures are attributed to the server. */
    private static final long CORRELATION_NANOS = 2_000 * NANOS_PER_MILLI;
    /** Weight of the newest response in the latency ratio; the average covers about the last three responses. */
    private static final double NEWEST_WEIGHT = 0.3;
    /** Ratio to the usual latency above which a server is slow; processing times vary by about a factor of two. */
    private static final double SLOW_FACTOR = 2.5;
    /** Time for which a server stays slow; after that it receives a request again, which shows whether it still is. */
    private static final long SLOW_AVOIDANCE_NANOS = 3_000 * NANOS_PER_MILLI;

    private static final class ServerHistory {
        long avoidedUntil;
        long lastFailure;
        long lastSuccess;
        boolean failing;
        boolean hasFailed;
        boolean hasSucceeded;
        boolean probing;
        double latencyRatio = 1;
        long slowUntil;
        boolean slow;

        @Nullable
        HostId unreachableFrom;

        long unreachableNanos;
        boolean wasDisturbed;
        long lastDisturbance;

        void recordDisturbance(long nowNanos) {
            wasDisturbed = true;
            lastDisturbance = nowNanos;
        }
    }

    private static final class PathHistory {
        long avoidedUntil;
        int failures;
        boolean hasPause;
        long pausedUntil;
    }

    private final Map<String, ServerHistory> histories = new HashMap<>();
    /** Path histories by host and server. */
    private final Map<HostId, Map<String, PathHistory>> paths = new HashMap<>();

    private double avoidanceNanos = INITIAL_AVOIDANCE_NANOS;

    /** Removes the histories of all other servers. */
    void retain(Set<String> servers) {
        histories.keySet().retainAll(servers);
        paths.values().forEach(byServer -> byServer.keySet().retainAll(servers));
        paths.values().removeIf(Map::isEmpty);
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param observation the outcome
     * @param startedNanos when the attempt started
     * @param usualSeconds the usual latency of requests of the class
     * @param nowNanos the current time
     */
    void observe(Observation observation, long startedNanos, double usualSeconds, long nowNanos) {
        ServerHistory history = histories.computeIfAbsent(observation.server(), name -> new ServerHistory());
        switch (observation.outcome()) {
            case SUCCESS -> {
                recordLatency(history, observation, usualSeconds, nowNanos);
                // A request that started before the last failure does not show that the server has recovered.
                if (!history.failing || startedNanos - history.lastFailure > 0) {
                    recordSuccess(history, observation, nowNanos);
                }
            }
            case SERVER_ERROR, TRUNCATED, MISDIRECTED -> recordFailure(history, nowNanos);
            case CONNECT_FAILED, CONNECTION_LOST, TIMEOUT -> recordUnreachable(history, observation, nowNanos);
            case REJECTED, SHED -> extendAvoidance(history, nowNanos + OVERLOAD_AVOIDANCE_NANOS);
            default -> {
                // Other outcomes, such as abandoned attempts, provide no information about the server.
            }
        }
    }

    private void recordSuccess(ServerHistory history, Observation observation, long nowNanos) {
        if (history.probing) {
            avoidanceNanos = Math.max(MIN_AVOIDANCE_NANOS, avoidanceNanos * DECAY_ON_SUCCESSFUL_PROBE);
        }
        history.probing = false;
        history.failing = false;
        history.hasSucceeded = true;
        history.lastSuccess = nowNanos;
        history.avoidedUntil = nowNanos;
        history.unreachableFrom = null;
        paths.computeIfPresent(observation.host(), (host, byServer) -> {
            byServer.computeIfPresent(
                    observation.server(),
                    (server, path) -> path.hasPause && path.pausedUntil - nowNanos > 0 ? path : null);
            return byServer.isEmpty() ? null : byServer;
        });
    }

    private static void recordLatency(
            ServerHistory history, Observation observation, double usualSeconds, long nowNanos) {
        if (usualSeconds > 0) {
            double ratio = observation.latencyMicros() / 1e6 / usualSeconds;
            history.latencyRatio += NEWEST_WEIGHT * (Math.min(ratio, 10) - history.latencyRatio);
            if (history.latencyRatio > SLOW_FACTOR) {
                history.slow = true;
                history.recordDisturbance(nowNanos);
                history.slowUntil = nowNanos + SLOW_AVOIDANCE_NANOS;
            } else {
                history.slow = false;
            }
        }
    }

    private void recordFailure(ServerHistory history, long nowNanos) {
        if (history.probing) {
            avoidanceNanos = Math.min(MAX_AVOIDANCE_NANOS, avoidanceNanos * GROWTH_ON_FAILED_PROBE);
        }
        history.probing = true;
        history.failing = true;
        history.hasFailed = true;
        history.lastFailure = nowNanos;
        history.recordDisturbance(nowNanos);
        extendAvoidance(history, nowNanos + (long) avoidanceNanos);
    }

    private void recordUnreachable(ServerHistory history, Observation observation, long nowNanos) {
        PathHistory path = paths.computeIfAbsent(observation.host(), host -> new HashMap<>())
                .computeIfAbsent(observation.server(), server -> new PathHistory());
        path.avoidedUntil = nowNanos + (PATH_AVOIDANCE_NANOS << Math.min(path.failures, MAX_PATH_DOUBLINGS));
        path.failures++;
        HostId previousHost = history.unreachableFrom;
        boolean recent = nowNanos - history.unreachableNanos < CORRELATION_NANOS;
        boolean otherHostFailed = previousHost != null && recent && !previousHost.equals(observation.host());
        boolean othersSucceed = history.hasSucceeded && nowNanos - history.lastSuccess < CORRELATION_NANOS;
        history.unreachableFrom = observation.host();
        history.unreachableNanos = nowNanos;
        history.recordDisturbance(nowNanos);
        // The path of a lost connection worked until recently, so the cause is more likely the server than the path.
        if (otherHostFailed || !othersSucceed || observation.outcome() == AttemptOutcome.CONNECTION_LOST) {
            recordFailure(history, nowNanos);
        }
    }

    /** Pauses the requests of one host to a server until a time that the server requested. */
    void pause(HostId host, String server, long untilNanos) {
        PathHistory path =
                paths.computeIfAbsent(host, name -> new HashMap<>()).computeIfAbsent(server, name -> new PathHistory());
        path.pausedUntil = path.hasPause && path.pausedUntil - untilNanos > 0 ? path.pausedUntil : untilNanos;
        path.hasPause = true;
    }

    /** Whether a server has requested a pause from the host that is not over. */
    boolean isPaused(HostId host, String server, long nowNanos) {
        Map<String, PathHistory> byServer = paths.get(host);
        PathHistory path = byServer == null ? null : byServer.get(server);
        return path != null && path.hasPause && path.pausedUntil - nowNanos > 0;
    }

    private static void extendAvoidance(ServerHistory history, long untilNanos) {
        if (untilNanos - history.avoidedUntil > 0) {
            history.avoidedUntil = untilNanos;
        }
    }

    /**
     * The status of a server for the next request.
     *
     * @param maxAvoidanceNanos the maximum avoidance time after a failure that the floor currently allows, in
     *     nanoseconds
     */
    Status status(String server, long maxAvoidanceNanos, long nowNanos) {
        ServerHistory history = histories.get(server);
        if (history == null) {
            return Status.HEALTHY;
        }
        if (history.avoidedUntil - nowNanos > 0
                && !(history.failing && nowNanos - history.lastFailure > maxAvoidanceNanos)) {
            return Status.AVOIDED;
        }
        if (history.failing) {
            return Status.PROBE;
        }
        if (history.slow && history.slowUntil - nowNanos > 0) {
            return Status.SLOW;
        }
        return Status.HEALTHY;
    }

    /** Remaining time for which a server is avoided, 0 if it is not avoided. */
    long avoidedNanos(String server, long nowNanos) {
        ServerHistory history = histories.get(server);
        return history == null ? 0 : Math.max(0, history.avoidedUntil - nowNanos);
    }

    /** Whether the path from a host to a server is avoided. */
    boolean avoidsPath(HostId host, String server, long nowNanos) {
        Map<String, PathHistory> byServer = paths.get(host);
        PathHistory path = byServer == null ? null : byServer.get(server);
        return path != null && path.avoidedUntil - nowNanos > 0;
    }

    /** Whether any of the paths from a host may be suspect. */
    boolean hasSuspectPaths(HostId host) {
        return paths.containsKey(host);
    }

    /** Whether a server has failed at or after the given time. */
    boolean hasFailedSince(String server, long sinceNanos) {
        ServerHistory history = histories.get(server);
        return history != null && history.hasFailed && history.lastFailure - sinceNanos >= 0;
    }

    /** Whether a server has failed, been slow or been unreachable for any host at or after the given time. */
    boolean wasDisturbedSince(String server, long sinceNanos) {
        ServerHistory history = histories.get(server);
        return history != null && history.wasDisturbed && history.lastDisturbance - sinceNanos >= 0;
    }

    /** Whether no request has succeeded at a server since it last failed. */
    boolean isFailing(String server) {
        ServerHistory history = histories.get(server);
        return history != null && history.failing;
    }

    /** Nanoseconds since a server last failed, 0 if it never did. */
    long nanosSinceFailure(String server, long nowNanos) {
        ServerHistory history = histories.get(server);
        return history == null || !history.hasFailed ? 0 : nowNanos - history.lastFailure;
    }
}
