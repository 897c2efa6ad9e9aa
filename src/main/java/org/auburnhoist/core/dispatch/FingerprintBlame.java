package org.auburnhoist.core.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Finds requests that fail wherever they run, so that their failures are not held against the servers. */
final class FingerprintBlame {
    private static final int MOST_FINGERPRINTS = 1000;
    private static final int SERVERS_TO_BLAME = 2;

    private final Map<Long, Set<String>> failedOn = new LinkedHashMap<>();

    /** Takes in a failure; returns whether the request itself is to blame. */
    boolean failed(long fingerprint, String server) {
        Set<String> servers = failedOn.computeIfAbsent(fingerprint, key -> new HashSet<>());
        servers.add(server);
        if (failedOn.size() > MOST_FINGERPRINTS) {
            failedOn.remove(failedOn.keySet().iterator().next());
        }
        return servers.size() >= SERVERS_TO_BLAME;
    }

    /** Takes in a success, which clears the request. */
    void succeeded(long fingerprint) {
        failedOn.remove(fingerprint);
    }
}
