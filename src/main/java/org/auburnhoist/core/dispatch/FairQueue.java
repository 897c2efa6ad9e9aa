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
 * Weighted fair queueing over the teams within each class. Classes that wait share slot time equally. When a class's
 * queue is full, the team with the longest queue for its weight gives way, so that a surge refuses only its own
 * requests.
 */
final class FairQueue implements WaitingQueue {
    private final int limitPerClass;
    private final Map<TrafficClass, ClassQueue> queues = new EnumMap<>(TrafficClass.class);
    private final Map<TrafficClass, Double> slotSecondsUsed = new EnumMap<>(TrafficClass.class);
    private Map<String, Integer> weights = Map.of();

    FairQueue(int limitPerClass) {
        this.limitPerClass = limitPerClass;
        for (TrafficClass trafficClass : TrafficClass.values()) {
            queues.put(trafficClass, new ClassQueue());
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
        ClassQueue queue = queue(trafficClass);
        if (queue.size() == 0) {
            // An idle class saves up no share.
            double least = backlogged().stream()
                    .mapToDouble(this::used)
                    .min()
                    .orElseGet(() -> slotSecondsUsed.values().stream()
                            .mapToDouble(Double::doubleValue)
                            .max()
                            .orElse(0));
            slotSecondsUsed.put(trafficClass, Math.max(used(trafficClass), least));
        }
        queue.add(waiting);
        return queue.size() > limitPerClass ? queue.removeFromLongest(weights) : null;
    }

    @Override
    public @Nullable WaitingRequest poll(Set<TrafficClass> classes, Predicate<WaitingRequest> grantable) {
        List<TrafficClass> order = new ArrayList<>(backlogged());
        order.retainAll(classes);
        order.sort(Comparator.comparingDouble(this::used));
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
    public int ahead(TrafficClass trafficClass, String team) {
        return queue(trafficClass).ahead(weights, team);
    }

    @Override
    public Set<TrafficClass> backlogged() {
        Set<TrafficClass> classes = EnumSet.noneOf(TrafficClass.class);
        queues.forEach((trafficClass, queue) -> {
            if (queue.size() > 0) {
                classes.add(trafficClass);
            }
        });
        return classes;
    }

    @Override
    public List<WaitingRequest> trimTails(Predicate<WaitingRequest> hopeless) {
        List<WaitingRequest> removed = new ArrayList<>();
        queues.values().forEach(queue -> queue.trimTails(hopeless, removed));
        return removed;
    }

    private double used(TrafficClass trafficClass) {
        return slotSecondsUsed.getOrDefault(trafficClass, 0.0);
    }

    private ClassQueue queue(TrafficClass trafficClass) {
        return queues.computeIfAbsent(trafficClass, key -> new ClassQueue());
    }
}
