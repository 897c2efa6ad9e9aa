package org.auburnhoist.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.SlotRequest;
import org.jspecify.annotations.Nullable;

/**
 * Requests that found no server in one look through the queue.
 *
 * <p>A request that has waited longer is served by all servers that would serve it earlier, so one like another that
 * found none and waited at least as long finds none either and needs no search of its own.
 */
final class FruitlessSearches {
    private final SpellJudge judge;
    private final long nowNanos;
    /** The longest wait of a request that found no server, in nanoseconds. */
    private final Map<Kind, Long> longestWaits = new HashMap<>();

    /**
     * What decides whether a server suits a request, but for the time that it has waited.
     *
     * @param trafficClass its class
     * @param targetMillis its target
     * @param deadlineMillis the time that it had at first
     * @param excluded servers that it must not get
     * @param returnsTo the only servers that it may get, empty for any
     * @param asking the host that asks if any of its paths is in doubt, else null
     */
    private record Kind(
            TrafficClass trafficClass,
            long targetMillis,
            long deadlineMillis,
            List<String> excluded,
            List<String> returnsTo,
            @Nullable HostId asking) {}

    FruitlessSearches(SpellJudge judge, long nowNanos) {
        this.judge = judge;
        this.nowNanos = nowNanos;
    }

    /** Whether a request like this one found no server. */
    boolean include(WaitingRequest waiting) {
        Long longest = longestWaits.get(kindOf(waiting));
        return longest != null && waiting.waitedNanos(nowNanos) <= longest;
    }

    void add(WaitingRequest waiting) {
        longestWaits.merge(kindOf(waiting), waiting.waitedNanos(nowNanos), Math::max);
    }

    private Kind kindOf(WaitingRequest waiting) {
        SlotRequest request = waiting.request();
        return new Kind(
                request.trafficClass(),
                request.scheduling().targetLatencyMillis(),
                request.deadlineMillis(),
                request.excludedServers(),
                request.scheduling().allowedServers(),
                judge.doubtsPathsOf(waiting.asking()) ? waiting.asking() : null);
    }
}
