package org.auburnhoist.core.dispatch;

import java.util.List;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.Service;

/**
 * Detects failing servers of one service and ejects them.
 *
 * <p>Every implementation maintains invariant I1: of the servers that are not leaving, at least ceil(floor × servers)
 * are not in {@link #ejectedServers}.
 */
public interface OutlierDetector {
    /** Applies the service's servers and floor; the outcomes of servers that stay are kept. */
    void configure(Service service, long nowNanos);

    /** Records the outcome of an attempt. */
    void observe(Observation observation, long nowNanos);

    /** Performs periodic work; to be called several times a second. */
    void tick(long nowNanos);

    /**
     * Returns the maximum number of concurrent attempts of the class on the server: 0 if it is ejected, leaving or
     * unknown, a reduced number during probation or warm-up, otherwise the number of its slots.
     */
    int slotLimit(String server, TrafficClass trafficClass, long nowNanos);

    /** Whether the host should avoid the server, although other hosts may use it. */
    boolean avoidsPath(HostId host, String server, TrafficClass trafficClass, long nowNanos);

    /** Names of the servers, not leaving, that are ejected or on probation for at least one class. */
    Set<String> ejectedServers();

    /** Returns the changes since the last call, in order. */
    List<HealthChange> drainChanges();
}
