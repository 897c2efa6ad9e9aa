package org.auburnhoist.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;

/**
 * Grants the slots of one service. Each call may decide any waiting request, so each returns a list of decisions. Not
 * thread-safe.
 */
public interface SlotDispatcher {
    /**
     * Requests a slot.
     *
     * @param request the request
     * @param requestingHost the host that sent the request
     * @param replyToken identifies the request in its decision; unique among the waiting requests
     * @param nowNanos the current time
     */
    List<SlotDecision> request(SlotRequest request, HostId requestingHost, long replyToken, long nowNanos);

    /** Releases a slot; ignored unless {@code requestingHost} holds the grant. */
    List<SlotDecision> release(SlotRelease release, HostId requestingHost, long nowNanos);

    /**
     * Applies a new configuration of the service.
     *
     * @param service the service
     * @param teamWeights weights by team name; the weight of absent teams is 1
     * @param nowNanos the current time
     */
    List<SlotDecision> configure(Service service, Map<String, Integer> teamWeights, long nowNanos);

    /** Frees the grants and removes the waiting requests of a host that is no longer a member. */
    List<SlotDecision> memberRemoved(HostId member, long nowNanos);

    /** Performs periodic work; to be called about every 50 ms. */
    List<SlotDecision> tick(long nowNanos);

    /** Names of the servers, not leaving, that are ejected or on probation for at least one class. */
    Set<String> ejectedServers();

    /** Returns the health changes since the last call, in order. */
    List<HealthChange> drainHealthChanges();
}
