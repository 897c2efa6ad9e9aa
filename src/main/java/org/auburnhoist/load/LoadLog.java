package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.load.RequestResult.Ending;

/** Statistics of the attempts and requests of a load. Thread-safe. */
public final class LoadLog {
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int DIGITS = 3;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private final int seconds;
    private final Map<String, TeamLog> teams = new TreeMap<>();
    private final Map<TrafficClass, Histogram> latencies = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, List<Histogram>> latenciesBySecond = new EnumMap<>(TrafficClass.class);
    private final Map<Ending, Long> endings = new EnumMap<>(Ending.class);
    private final Map<AttemptResult, Long> attempts = new EnumMap<>(AttemptResult.class);
    private final Map<String, Long> lastAnswered = new HashMap<>();
    private long notSent;

    /** Creates an empty log for a load of the given number of seconds. */
    public LoadLog(List<TeamLoad> loads, int seconds) {
        this.seconds = Math.max(1, seconds);
        loads.forEach(load -> teams.put(load.team(), new TeamLog(load, this.seconds)));
        for (TrafficClass trafficClass : TrafficClass.values()) {
            latencies.put(trafficClass, new Histogram(MAX_LATENCY_MICROS, DIGITS));
            List<Histogram> parts = new ArrayList<>();
            for (int second = 0; second < this.seconds; second++) {
                parts.add(new Histogram(2));
            }
            latenciesBySecond.put(trafficClass, parts);
        }
    }

    /** Records an attempt that has just ended; {@code firstRun} is false if an earlier attempt may have executed. */
    synchronized void attempt(TeamLoad load, long sentNanos, AttemptResult result, String refusal, boolean firstRun) {
        long now = System.nanoTime();
        attempts.merge(result, 1L, Long::sum);
        if (result == AttemptResult.ANSWERED) {
            lastAnswered.merge(load.team(), sentNanos, Math::max);
        }
        team(load.team()).attempt(sentNanos, now, result, refusal, firstRun);
    }

    synchronized void offered(LoadRequest request) {
        team(request.team().team()).offered(second(request));
    }

    synchronized void notSent() {
        notSent++;
    }

    /**
     * Records the result of a request.
     *
     * @param latencyNanos time since the scheduled arrival
     */
    synchronized void ended(LoadRequest request, RequestResult result, long latencyNanos) {
        endings.merge(result.ending(), 1L, Long::sum);
        team(request.team().team()).ended(second(request), result);
        if (result.ending() == Ending.GOOD && !result.waited()) {
            long micros = Math.min(MAX_LATENCY_MICROS, latencyNanos / NANOS_PER_MICRO);
            latencies(request.trafficClass()).recordValue(micros);
            latenciesBySecond(request.trafficClass()).get(second(request)).recordValue(micros);
        }
    }

    /** Returns the duration of the load in whole seconds, at least 1. */
    public int seconds() {
        return seconds;
    }

    /** Latency of good answers in microseconds from the scheduled arrival, without requests that waited to retry. */
    public Histogram latencies(TrafficClass trafficClass) {
        Histogram histogram = latencies.get(trafficClass);
        if (histogram == null) {
            throw new IllegalArgumentException("trafficClass: expected a class, got " + trafficClass);
        }
        return histogram;
    }

    /** Returns the histograms of {@link #latencies} for each second of the scheduled arrival. */
    public List<Histogram> latenciesBySecond(TrafficClass trafficClass) {
        return latenciesBySecond.getOrDefault(trafficClass, List.of());
    }

    /** Returns the number of requests with the given ending. */
    public synchronized long count(Ending ending) {
        return endings.getOrDefault(ending, 0L);
    }

    /** Returns the number of attempts with the given result. */
    public synchronized long count(AttemptResult result) {
        return attempts.getOrDefault(result, 0L);
    }

    /** Returns the number of requests that were not sent because too many were in progress or the load was over. */
    public synchronized long notSentCount() {
        return notSent;
    }

    /** Latest send time of a team's attempts that an upstream answered; {@link Long#MIN_VALUE} if there was none. */
    synchronized long lastAnsweredNanos(String team) {
        return lastAnswered.getOrDefault(team, Long.MIN_VALUE);
    }

    Collection<TeamLog> teams() {
        return teams.values();
    }

    private TeamLog team(String name) {
        TeamLog log = teams.get(name);
        if (log == null) {
            throw new IllegalArgumentException("team: expected one of " + teams.keySet() + ", got " + name);
        }
        return log;
    }

    private int second(LoadRequest request) {
        return (int) Math.min(seconds - 1, request.offsetNanos() / NANOS_PER_SECOND);
    }
}
