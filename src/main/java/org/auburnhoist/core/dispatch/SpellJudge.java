package org.auburnhoist.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Judges servers that fail in spells of a few seconds while their health checks pass.
 *
 * <p>Where a healthy server fails about one request in a hundred and one in a spell fails most, a single failure is
 * already strong evidence. A server is therefore avoided from its first failure on. How long is learned: the time
 * grows when the next request to the server fails again and shrinks slowly when it succeeds, so that about one such
 * trial in ten fails. Failures to reach a server count against the path from that host, unless two hosts report them.
 */
final class SpellJudge {
    /** What the outcomes say about a server. */
    enum Standing {
        /** Nothing speaks against it. */
        FAIR,
        /** The time of avoidance is over; the next request is a trial. */
        ON_TRIAL,
        /** Answers come much later than from its peers, or one is long overdue. */
        SLOW,
        /** Failed a short time ago. */
        AVOIDED
    }

    private static final long MILLI = 1_000_000L;
    /** First guess of how long to avoid a server after a failure; replaced by what the trials show. */
    private static final long FIRST_AVOIDANCE_NANOS = 3_500 * MILLI;

    private static final long LEAST_AVOIDANCE_NANOS = 1_000 * MILLI;
    /** Longer avoidance would starve a service whose servers fail in turn. */
    private static final long MOST_AVOIDANCE_NANOS = 8_000 * MILLI;
    /** With these two factors about one trial in ten fails in the long run: 1.25^0.12 x 0.97^0.88 = 1. */
    private static final double GROWTH_ON_FAILED_TRIAL = 1.25;

    private static final double DECAY_ON_GOOD_TRIAL = 0.97;
    /** A full server has free slots again after about one request's time. */
    private static final long BUSY_NANOS = 300 * MILLI;
    /** Cut paths last for seconds; each further failure doubles the time. */
    private static final long PATH_AVOIDANCE_NANOS = 2_000 * MILLI;

    private static final int MOST_PATH_DOUBLINGS = 2;
    /** Two hosts that cannot reach a server within this time make it the server's fault. */
    private static final long SAME_TROUBLE_NANOS = 2_000 * MILLI;
    /** Weight of the newest answer in a server's slowness; about the last three answers count. */
    private static final double NEWEST_SLOWNESS = 0.3;
    /** Times the usual latency beyond which a server is slow; work times vary by about a factor of two. */
    private static final double SLOW_FACTOR = 2.5;
    /** A slow server gets a request now and then to see whether it still is. */
    private static final long SLOW_NANOS = 3_000 * MILLI;

    private static final class Track {
        long avoidedUntil;
        long lastFailure;
        long lastSuccess;
        boolean failed;
        boolean everFailed;
        boolean succeeded;
        boolean onTrial;
        double slowness = 1;
        long slowUntil;
        boolean slow;

        @Nullable
        HostId unreachedBy;

        long unreachedAt;
        boolean everTroubled;
        long lastTrouble;

        void troubled(long nowNanos) {
            everTroubled = true;
            lastTrouble = nowNanos;
        }
    }

    private static final class PathTrack {
        long avoidedUntil;
        int failures;
        boolean paused;
        long pausedUntil;
    }

    private final Map<String, Track> tracks = new HashMap<>();
    /** By host and server. */
    private final Map<HostId, Map<String, PathTrack>> paths = new HashMap<>();

    private double avoidanceNanos = FIRST_AVOIDANCE_NANOS;

    /** Forgets servers that are gone. */
    void retain(Set<String> servers) {
        tracks.keySet().retainAll(servers);
        paths.values().forEach(ofHost -> ofHost.keySet().retainAll(servers));
        paths.values().removeIf(Map::isEmpty);
    }

    /**
     * Takes in how an attempt ended.
     *
     * @param observation the outcome
     * @param startedNanos when the attempt began
     * @param usualSeconds the usual latency of such requests
     * @param nowNanos the present time
     */
    void observe(Observation observation, long startedNanos, double usualSeconds, long nowNanos) {
        Track track = tracks.computeIfAbsent(observation.server(), name -> new Track());
        switch (observation.outcome()) {
            case SUCCESS -> {
                judgeLatency(track, observation, usualSeconds, nowNanos);
                // A request that began before the failure says nothing about the server after it.
                if (!track.failed || startedNanos - track.lastFailure > 0) {
                    succeeded(track, observation, nowNanos);
                }
            }
            case SERVER_ERROR, TRUNCATED, MISDIRECTED -> failed(track, nowNanos);
            case CONNECT_FAILED, CONNECTION_LOST, TIMEOUT -> unreached(track, observation, nowNanos);
            case REJECTED, SHED -> avoid(track, nowNanos + BUSY_NANOS);
            default -> {
                // An abandoned attempt says nothing about the server.
            }
        }
    }

    private void succeeded(Track track, Observation observation, long nowNanos) {
        if (track.onTrial) {
            avoidanceNanos = Math.max(LEAST_AVOIDANCE_NANOS, avoidanceNanos * DECAY_ON_GOOD_TRIAL);
        }
        track.onTrial = false;
        track.failed = false;
        track.succeeded = true;
        track.lastSuccess = nowNanos;
        track.avoidedUntil = nowNanos;
        track.unreachedBy = null;
        paths.computeIfPresent(observation.host(), (host, ofHost) -> {
            ofHost.computeIfPresent(
                    observation.server(),
                    (server, path) -> path.paused && path.pausedUntil - nowNanos > 0 ? path : null);
            return ofHost.isEmpty() ? null : ofHost;
        });
    }

    private static void judgeLatency(Track track, Observation observation, double usualSeconds, long nowNanos) {
        if (usualSeconds > 0) {
            double ratio = observation.latencyMicros() / 1e6 / usualSeconds;
            track.slowness += NEWEST_SLOWNESS * (Math.min(ratio, 10) - track.slowness);
            if (track.slowness > SLOW_FACTOR) {
                track.slow = true;
                track.troubled(nowNanos);
                track.slowUntil = nowNanos + SLOW_NANOS;
            } else {
                track.slow = false;
            }
        }
    }

    private void failed(Track track, long nowNanos) {
        if (track.onTrial) {
            avoidanceNanos = Math.min(MOST_AVOIDANCE_NANOS, avoidanceNanos * GROWTH_ON_FAILED_TRIAL);
        }
        track.onTrial = true;
        track.failed = true;
        track.everFailed = true;
        track.lastFailure = nowNanos;
        track.troubled(nowNanos);
        avoid(track, nowNanos + (long) avoidanceNanos);
    }

    private void unreached(Track track, Observation observation, long nowNanos) {
        PathTrack path = paths.computeIfAbsent(observation.host(), host -> new HashMap<>())
                .computeIfAbsent(observation.server(), server -> new PathTrack());
        path.avoidedUntil = nowNanos + (PATH_AVOIDANCE_NANOS << Math.min(path.failures, MOST_PATH_DOUBLINGS));
        path.failures++;
        HostId earlier = track.unreachedBy;
        boolean recent = nowNanos - track.unreachedAt < SAME_TROUBLE_NANOS;
        boolean byAnother = earlier != null && recent && !earlier.equals(observation.host());
        boolean othersSucceed = track.succeeded && nowNanos - track.lastSuccess < SAME_TROUBLE_NANOS;
        track.unreachedBy = observation.host();
        track.unreachedAt = nowNanos;
        track.troubled(nowNanos);
        // A lost connection was a working path a moment before, so it is the server's more likely than the path's.
        if (byAnother || !othersSucceed || observation.outcome() == AttemptOutcome.CONNECTION_LOST) {
            failed(track, nowNanos);
        }
    }

    /** Keeps the requests of one host away from a server for a time that the server named. */
    void pause(HostId host, String server, long untilNanos) {
        PathTrack path =
                paths.computeIfAbsent(host, name -> new HashMap<>()).computeIfAbsent(server, name -> new PathTrack());
        path.pausedUntil = path.paused && path.pausedUntil - untilNanos > 0 ? path.pausedUntil : untilNanos;
        path.paused = true;
    }

    /** Whether a server has asked for no requests from a host now. */
    boolean isPaused(HostId host, String server, long nowNanos) {
        Map<String, PathTrack> ofHost = paths.get(host);
        PathTrack path = ofHost == null ? null : ofHost.get(server);
        return path != null && path.paused && path.pausedUntil - nowNanos > 0;
    }

    private static void avoid(Track track, long untilNanos) {
        if (untilNanos - track.avoidedUntil > 0) {
            track.avoidedUntil = untilNanos;
        }
    }

    /**
     * How a server stands for the next request.
     *
     * @param shortest the longest avoidance that the floor allows now, in nanoseconds
     */
    Standing standing(String server, long shortest, long nowNanos) {
        Track track = tracks.get(server);
        if (track == null) {
            return Standing.FAIR;
        }
        if (track.avoidedUntil - nowNanos > 0 && !(track.failed && nowNanos - track.lastFailure > shortest)) {
            return Standing.AVOIDED;
        }
        if (track.failed) {
            return Standing.ON_TRIAL;
        }
        if (track.slow && track.slowUntil - nowNanos > 0) {
            return Standing.SLOW;
        }
        return Standing.FAIR;
    }

    /** For how long a server is avoided from now on, 0 if it is not. */
    long avoidedNanos(String server, long nowNanos) {
        Track track = tracks.get(server);
        return track == null ? 0 : Math.max(0, track.avoidedUntil - nowNanos);
    }

    /** Whether a host's own path to a server is in doubt. */
    boolean avoidsPath(HostId host, String server, long nowNanos) {
        Map<String, PathTrack> ofHost = paths.get(host);
        PathTrack path = ofHost == null ? null : ofHost.get(server);
        return path != null && path.avoidedUntil - nowNanos > 0;
    }

    /** Whether any of a host's own paths may be in doubt. */
    boolean doubtsPathsOf(HostId host) {
        return paths.containsKey(host);
    }

    /** Whether a server has failed at or after a time. */
    boolean hasFailedSince(String server, long sinceNanos) {
        Track track = tracks.get(server);
        return track != null && track.everFailed && track.lastFailure - sinceNanos >= 0;
    }

    /** Whether a server has failed, been slow or not been reached by some host at or after a time. */
    boolean hadTroubleSince(String server, long sinceNanos) {
        Track track = tracks.get(server);
        return track != null && track.everTroubled && track.lastTrouble - sinceNanos >= 0;
    }

    /** Whether no request has succeeded at a server since it last failed. */
    boolean isFailing(String server) {
        Track track = tracks.get(server);
        return track != null && track.failed;
    }

    /** Nanoseconds since a server last failed, 0 if it never did. */
    long failedForNanos(String server, long nowNanos) {
        Track track = tracks.get(server);
        return track == null || !track.everFailed ? 0 : nowNanos - track.lastFailure;
    }
}
