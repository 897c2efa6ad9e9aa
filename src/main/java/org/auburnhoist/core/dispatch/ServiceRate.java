package org.auburnhoist.core.dispatch;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.auburnhoist.core.TrafficClass;

/** Moving averages of how long requests of each class hold a slot and wait for their first byte. */
final class ServiceRate {
    /** Weight of the newest value; about the last 20 requests count. */
    private static final double NEWEST = 0.05;

    private final double firstHoldSeconds;
    private final Map<TrafficClass, Double> holdSeconds = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, Double> latencySeconds = new EnumMap<>(TrafficClass.class);

    ServiceRate(Duration firstHoldTime) {
        firstHoldSeconds = firstHoldTime.toNanos() / 1e9;
    }

    void released(Grant grant, long latencyMicros, long nowNanos) {
        average(holdSeconds, grant.trafficClass(), Math.max(0, nowNanos - grant.grantedNanos()) / 1e9);
        average(latencySeconds, grant.trafficClass(), Math.max(0, latencyMicros) / 1e6);
    }

    double holdSeconds(TrafficClass trafficClass) {
        return Math.max(1e-4, holdSeconds.getOrDefault(trafficClass, firstHoldSeconds));
    }

    /** The shortest of the classes' usual times; the first guess before any request has ended. */
    double holdSeconds() {
        return Math.max(
                1e-4,
                holdSeconds.values().stream()
                        .mapToDouble(Double::doubleValue)
                        .min()
                        .orElse(firstHoldSeconds));
    }

    double latencySeconds(TrafficClass trafficClass) {
        return latencySeconds.getOrDefault(trafficClass, 0.0);
    }

    private static void average(Map<TrafficClass, Double> averages, TrafficClass trafficClass, double value) {
        averages.merge(trafficClass, value, (old, newest) -> old + NEWEST * (newest - old));
    }
}
