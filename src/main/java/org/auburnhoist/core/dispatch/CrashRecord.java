package org.auburnhoist.core.dispatch;

import java.util.List;

/**
 * What a host knows of crashes of servers and of the requests that it holds back for them, as it tells other hosts.
 *
 * @param crashes the crashes
 * @param held the requests that are held back
 */
public record CrashRecord(List<Crash> crashes, List<HeldRequest> held) {
    /** Copies the lists. */
    public CrashRecord {
        crashes = List.copyOf(crashes);
        held = List.copyOf(held);
    }

    /**
     * A crash of a server.
     *
     * @param id identifies the crash in the whole fleet
     * @param server the server's ID
     * @param ageMillis time since the crash was noticed
     * @param silent whether the server fell silent instead of breaking its connections
     * @param suspects fingerprints of the requests that may have caused it; empty if all of them completed since
     */
    public record Crash(long id, String server, long ageMillis, boolean silent, List<Long> suspects) {
        /** Copies the list. */
        public Crash {
            suspects = List.copyOf(suspects);
        }
    }

    /**
     * A request that is held back.
     *
     * @param fingerprint hash of the request
     * @param remainingMillis time until it is accepted again
     */
    public record HeldRequest(long fingerprint, long remainingMillis) {}
}
