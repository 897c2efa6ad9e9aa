package org.auburnhoist.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.auburnhoist.core.TrafficClass;
import org.jspecify.annotations.Nullable;

/** Queue that determines the order in which waiting requests get slots. */
interface RequestQueue {
    /** Sets the weights of the teams; the weight of absent teams is 1. */
    void setWeights(Map<String, Integer> weights);

    /** Adds a request; returns the request that is removed in turn because the queue is full, or null. */
    @Nullable
    WaitingRequest add(WaitingRequest waiting);

    /** Removes and returns the next request of the given classes that can be granted, or null. */
    @Nullable
    WaitingRequest poll(Set<TrafficClass> classes, Predicate<WaitingRequest> grantable);

    /** Charges the expected slot time of a granted request to its class, for sharing slots between classes. */
    void charge(TrafficClass trafficClass, double slotSeconds);

    /** Removes and returns all matching requests. */
    List<WaitingRequest> removeIf(Predicate<WaitingRequest> condition);

    /** Number of requests that would be granted before a new request of the team. */
    int countAhead(TrafficClass trafficClass, String team);

    /** Classes with waiting requests. */
    Set<TrafficClass> backloggedClasses();

    /** Removes requests from the tails of the teams' queues until one does not match; returns the removed requests. */
    List<WaitingRequest> removeFromTails(Predicate<WaitingRequest> condition);
}
