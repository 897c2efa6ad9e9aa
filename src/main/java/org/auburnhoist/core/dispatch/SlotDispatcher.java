package org.auburnhoist.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.configuration.Service;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;

/**
 * Grants the slots of one service. Each input may decide about any waiting request, so each returns decisions. Not
 * thread-safe.
 */
public interface SlotDispatcher {
    /**
     * Asks for a slot.
     *
     * @param request the request
     * @param asking the host that sent it
     * @param replyToken identifies the request in its decision; unique among the waiting ones
     * @param nowNanos the present time
     */
    List<SlotDecision> request(SlotRequest request, HostId asking, long replyToken, long nowNanos);

    /** Returns a slot; ignored unless {@code asking} holds the grant. */
    List<SlotDecision> release(SlotRelease release, HostId asking, long nowNanos);

    /**
     * Takes over a new configuration of the service.
     *
     * @param service the service
     * @param teamWeights weights by team name; absent teams weigh 1
     * @param nowNanos the present time
     */
    List<SlotDecision> configure(Service service, Map<String, Integer> teamWeights, long nowNanos);

    /** Frees the grants and drops the waiting requests of a host that is gone. */
    List<SlotDecision> memberRemoved(HostId member, long nowNanos);

    /** Lets time pass; to be called about every 50 ms. */
    List<SlotDecision> tick(long nowNanos);

    /** Names of servers, not leaving, that are out of normal use for at least one class. */
    Set<String> ejectedServers();

    /** Returns the changes of judgement since the last call, in order. */
    List<HealthChange> drainHealthChanges();
}
