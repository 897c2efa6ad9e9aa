package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.auburnhoist.core.TrafficClass;
import org.jspecify.annotations.Nullable;

/**
 * Weighted fair queueing over the teams within each traffic class. Classes with waiting requests share slot time
 * equally. When the queue of a class is full, the last request of the team with the longest queue relative to its
 * weight is removed, so that a surge of one team only causes refusals of its own requests.
 */
final class FairQueue implements RequestQueue {
    private final int limitPerClass;
    private final Map<TrafficClass, StartTimeFairQueue> queues = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, Double> slotSecondsUsed = new EnumMap<>(TrafficClass.class);
    private Map<String, Integer> weights = Map.of();

    FairQueue(int limitPerClass) {
        this.limitPerClass = limitPerClass;
        for (TrafficClass trafficClass : TrafficClass.values()) {
            queues.put(trafficClass, new StartTimeFairQueue());
            slotSecondsUsed.put(trafficClass, 0.0);
        }
    }

    @Override
    public void setWeights(Map<String, Integer> newWeights) {
        weights = Map.copyOf(newWeights);
    }

    @Override
    public @Nullable WaitingRequest add(WaitingRequest waiting) {
        TrafficClass trafficClass = waiting.request().trafficClass();
        StartTimeFairQueue queue = queue(trafficClass);
        if (queue.size() == 0) {
            // A class does not accumulate credit while it has no waiting requests.
            double minUsage = backloggedClasses().stream()
                    .mapToDouble(this::usageOf)
                    .min()
                    .orElseGet(() -> slotSecondsUsed.values().stream()
                            .mapToDouble(Double::doubleValue)
                            .max()
                            .orElse(0));
            slotSecondsUsed.put(trafficClass, Math.max(usageOf(trafficClass), minUsage));
        }
        queue.add(waiting);
        return queue.size() > limitPerClass ? queue.removeLastOfLongest(weights) : null;
    }

    @Override
    public @Nullable WaitingRequest poll(Set<TrafficClass> classes, Predicate<WaitingRequest> grantable) {
        List<TrafficClass> order = new ArrayList<>(backloggedClasses());
        order.retainAll(classes);
        order.sort(Comparator.comparingDouble(this::usageOf));
        for (TrafficClass trafficClass : order) {
            WaitingRequest next = queue(trafficClass).poll(weights, grantable);
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    @Override
    public void charge(TrafficClass trafficClass, double slotSeconds) {
        slotSecondsUsed.merge(trafficClass, slotSeconds, Double::sum);
    }

    @Override
    public List<WaitingRequest> removeIf(Predicate<WaitingRequest> condition) {
        List<WaitingRequest> removed = new ArrayList<>();
        queues.values().forEach(queue -> queue.removeIf(condition, removed));
        return removed;
    }

    @Override
    public int countAhead(TrafficClass trafficClass, String team) {
        return queue(trafficClass).countAhead(weights, team);
    }

    @Override
    public Set<TrafficClass> backloggedClasses() {
        Set<TrafficClass> classes = EnumSet.noneOf(TrafficClass.class);
        queues.forEach((trafficClass, queue) -> {
            if (queue.size() > 0) {
                classes.add(trafficClass);
            }
        });
        return classes;
    }

    @Override
    public List<WaitingRequest> removeFromTails(Predicate<WaitingRequest> condition) {
        List<WaitingRequest> removed = new ArrayList<>();
        queues.values().forEach(queue -> queue.removeFromTails(condition, removed));
        return removed;
    }

    private double usageOf(TrafficClass trafficClass) {
        return slotSecondsUsed.getOrDefault(trafficClass, 0.0);
    }

    private StartTimeFairQueue queue(TrafficClass trafficClass) {
        return queues.computeIfAbsent(trafficClass, key -> new StartTimeFairQueue());
    }
}
