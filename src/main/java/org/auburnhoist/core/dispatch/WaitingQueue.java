package org.auburnhoist.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.auburnhoist.core.TrafficClass;
import org.jspecify.annotations.Nullable;

/** Order in which waiting requests get slots. */
interface WaitingQueue {
    /** Sets the teams' weights; absent teams weigh 1. */
    void setWeights(Map<String, Integer> weights);

    /** Adds a request; returns the request that must give way because the queue is full, or null. */
    @Nullable
    WaitingRequest add(WaitingRequest waiting);

    /** Removes and returns the next request of the given classes that can be granted, or null. */
    @Nullable
    WaitingRequest poll(Set<TrafficClass> classes, Predicate<WaitingRequest> grantable);

    /** Tells how much slot time a granted request of a class is expected to take, for sharing between classes. */
    void charge(TrafficClass trafficClass, double slotSeconds);

    /** Removes all requests that match. */
    List<WaitingRequest> removeIf(Predicate<WaitingRequest> condition);

    /** Number of requests that would be granted before a new one of the team. */
    int ahead(TrafficClass trafficClass, String team);

    /** Classes that have waiting requests. */
    Set<TrafficClass> backlogged();

    /** Removes requests from the ends of the teams' queues as long as they match. */
    List<WaitingRequest> trimTails(Predicate<WaitingRequest> hopeless);
}
