package org.auburnhoist.core.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Detects requests that fail on several servers, so that their failures do not count against the servers. */
final class FaultyRequestDetector {
    private static final int MAX_FINGERPRINTS = 1000;
    private static final int MIN_FAILED_SERVERS = 2;

    private final Map<Long, Set<String>> failedServers = new LinkedHashMap<>();

    /** Records a failure; returns whether the request itself is considered the cause. */
    boolean recordFailure(long fingerprint, String server) {
        Set<String> servers = failedServers.computeIfAbsent(fingerprint, key -> new HashSet<>());
        servers.add(server);
        if (failedServers.size() > MAX_FINGERPRINTS) {
            failedServers.remove(failedServers.keySet().iterator().next());
        }
        return servers.size() >= MIN_FAILED_SERVERS;
    }

    /** Records a success, which removes all recorded failures of the request. */
    void recordSuccess(long fingerprint) {
        failedServers.remove(fingerprint);
    }
}
