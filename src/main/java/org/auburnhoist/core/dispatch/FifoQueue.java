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

/** First-in, first-out queue; the baseline for measuring fair queueing. */
final class FifoQueue implements RequestQueue {
    private final int limit;
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();

    FifoQueue(int limitPerClass) {
        limit = limitPerClass * TrafficClass.values().length;
    }

    @Override
    public void setWeights(Map<String, Integer> weights) {
        // FIFO order does not depend on team weights.
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
        // FIFO order does not track slot usage by class.
    }

    @Override
    public List<WaitingRequest> removeIf(Predicate<WaitingRequest> condition) {
        List<WaitingRequest> removed = new ArrayList<>();
        waiting.removeIf(request -> condition.test(request) && removed.add(request));
        return removed;
    }

    @Override
    public int countAhead(TrafficClass trafficClass, String team) {
        return waiting.size();
    }

    @Override
    public Set<TrafficClass> backloggedClasses() {
        Set<TrafficClass> classes = EnumSet.noneOf(TrafficClass.class);
        waiting.forEach(request -> classes.add(request.request().trafficClass()));
        return classes;
    }

    @Override
    public List<WaitingRequest> removeFromTails(Predicate<WaitingRequest> condition) {
        List<WaitingRequest> removed = new ArrayList<>();
        while (!waiting.isEmpty() && condition.test(waiting.getLast())) {
            removed.add(waiting.removeLast());
        }
        return removed;
    }
}
