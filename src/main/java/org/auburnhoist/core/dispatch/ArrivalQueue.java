package org.auburnhoist.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.auburnhoist.core.TrafficClass;
import org.jspecify.annotations.Nullable;

/** First come, first served; the baseline that fair queueing is compared with. */
final class ArrivalQueue implements WaitingQueue {
    private final int limit;
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();

    ArrivalQueue(int limitPerClass) {
        limit = limitPerClass * TrafficClass.values().length;
    }

    @Override
    public void setWeights(Map<String, Integer> weights) {
        // Arrival order knows no weights.
    }

    @Override
    public @Nullable WaitingRequest add(WaitingRequest request) {
        waiting.addLast(request);
        return waiting.size() > limit ? waiting.removeLast() : null;
    }

    @Override
    public @Nullable WaitingRequest poll(Set<TrafficClass> classes, Predicate<WaitingRequest> grantable) {
        for (Iterator<WaitingRequest> all = waiting.iterator(); all.hasNext(); ) {
            WaitingRequest next = all.next();
            if (classes.contains(next.request().trafficClass()) && grantable.test(next)) {
                all.remove();
                return next;
            }
        }
        return null;
    }

    @Override
    public void charge(TrafficClass trafficClass, double slotSeconds) {
        // Arrival order shares nothing between classes.
    }

    @Override
    public List<WaitingRequest> removeIf(Predicate<WaitingRequest> condition) {
        List<WaitingRequest> removed = new ArrayList<>();
        waiting.removeIf(request -> condition.test(request) && removed.add(request));
        return removed;
    }

    @Override
    public int ahead(TrafficClass trafficClass, String team) {
        return waiting.size();
    }

    @Override
    public Set<TrafficClass> backlogged() {
        Set<TrafficClass> classes = EnumSet.noneOf(TrafficClass.class);
        waiting.forEach(request -> classes.add(request.request().trafficClass()));
        return classes;
    }

    @Override
    public List<WaitingRequest> trimTails(Predicate<WaitingRequest> hopeless) {
        List<WaitingRequest> removed = new ArrayList<>();
        while (!waiting.isEmpty() && hopeless.test(waiting.getLast())) {
            removed.add(waiting.removeLast());
        }
        return removed;
    }
}
