package org.auburnhoist.core.dispatch;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.auburnhoist.core.TrafficClass;

/** Exponential moving averages, per class, of the time that requests hold a slot and of their first-byte latency. */
final class ServiceTimeEstimator {
    /** Weight of the newest value; the average covers about the last 20 requests. */
    private static final double NEWEST_WEIGHT = 0.05;

    private final double initialHoldSeconds;
    private final Map<TrafficClass, Double> holdSeconds = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, Double> latencySeconds = new EnumMap<>(TrafficClass.class);

    ServiceTimeEstimator(Duration initialHoldTime) {
        initialHoldSeconds = initialHoldTime.toNanos() / 1e9;
    }

    void record(Grant grant, long latencyMicros, long nowNanos) {
        average(holdSeconds, grant.trafficClass(), Math.max(0, nowNanos - grant.grantedNanos()) / 1e9);
        average(latencySeconds, grant.trafficClass(), Math.max(0, latencyMicros) / 1e6);
    }

    double holdSeconds(TrafficClass trafficClass) {
        return Math.max(1e-4, holdSeconds.getOrDefault(trafficClass, initialHoldSeconds));
    }

    /** The shortest average hold time of all classes; the initial estimate before any request has ended. */
    double holdSeconds() {
        return Math.max(
                1e-4,
                holdSeconds.values().stream()
                        .mapToDouble(Double::doubleValue)
                        .min()
                        .orElse(initialHoldSeconds));
    }

    double latencySeconds(TrafficClass trafficClass) {
        return latencySeconds.getOrDefault(trafficClass, 0.0);
    }

    private static void average(Map<TrafficClass, Double> averages, TrafficClass trafficClass, double value) {
        averages.merge(trafficClass, value, (average, newest) -> average + NEWEST_WEIGHT * (newest - average));
    }
}
