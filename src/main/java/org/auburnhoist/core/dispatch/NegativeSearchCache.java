package org.auburnhoist.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.SlotRequest;
import org.jspecify.annotations.Nullable;

/**
 * Caches which waiting requests found no server during one scan of the queue.
 *
 * <p>The set of servers that may serve a request never shrinks as the request waits. If a request found no server,
 * another one with the same key that has waited no longer finds none either, so its search is skipped.
 */
final class NegativeSearchCache {
    private final TransientFailureDetector failureDetector;
    private final long nowNanos;
    /** Longest wait among the requests that found no server, in nanoseconds. */
    private final Map<Key, Long> longestWaits = new HashMap<>();

    /**
     * The properties of a request, other than its wait, that decide which servers may serve it.
     *
     * @param trafficClass its traffic class
     * @param targetMillis its target latency
     * @param deadlineMillis its deadline, relative to the time at which it was queued
     * @param excluded servers that must not receive it
     * @param allowedServers the only servers that may receive it; empty if any may
     * @param requestingHost the requesting host if any of its paths is suspect, otherwise null
     */
    private record Key(
            TrafficClass trafficClass,
            long targetMillis,
            long deadlineMillis,
            List<String> excluded,
            List<String> allowedServers,
            @Nullable HostId requestingHost) {}

    NegativeSearchCache(TransientFailureDetector failureDetector, long nowNanos) {
        this.failureDetector = failureDetector;
        this.nowNanos = nowNanos;
    }

    /** Whether the search for this request can be skipped because an equivalent one failed. */
    boolean covers(WaitingRequest waiting) {
        Long longestNanos = longestWaits.get(keyOf(waiting));
        return longestNanos != null && waiting.waitedNanos(nowNanos) <= longestNanos;
    }

    void add(WaitingRequest waiting) {
        longestWaits.merge(keyOf(waiting), waiting.waitedNanos(nowNanos), Math::max);
    }

    private Key keyOf(WaitingRequest waiting) {
        SlotRequest request = waiting.request();
        return new Key(
                request.trafficClass(),
                request.scheduling().targetLatencyMillis(),
                request.deadlineMillis(),
                request.excludedServers(),
                request.scheduling().allowedServers(),
                failureDetector.hasSuspectPaths(waiting.requestingHost()) ? waiting.requestingHost() : null);
    }
}
