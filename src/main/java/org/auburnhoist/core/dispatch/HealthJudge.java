package org.auburnhoist.core.dispatch;

import java.util.List;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.Service;

/**
 * Judges the servers of one service and decides which of them get work.
 *
 * <p>Every implementation keeps invariant I1: of the servers that are not leaving, at least ceil(floor × servers) are
 * not in {@link #ejected}.
 */
public interface HealthJudge {
    /** Takes over the service's servers and floor; evidence about servers that stay is kept. */
    void configure(Service service, long nowNanos);

    /** Takes in the end of an attempt. */
    void observe(Observation observation, long nowNanos);

    /** Lets time pass; to be called several times a second. */
    void tick(long nowNanos);

    /**
     * Returns how many attempts of the class the server may run at a time: 0 if it is ejected, leaving or unknown, few
     * in probation or warm-up, else all its slots.
     */
    int slotLimit(String server, TrafficClass trafficClass, long nowNanos);

    /** Whether the host should not use the server, although others may. */
    boolean avoids(HostId host, String server, TrafficClass trafficClass, long nowNanos);

    /** Names of servers, not leaving, that are out of normal use for at least one class. */
    Set<String> ejected();

    /** Returns the changes since the last call, in order. */
    List<HealthChange> drainChanges();
}
