package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards against quarantining harmless requests that run on a server at the same time as a crashing one. */
class QuarantineTest {
    private static final long CRASHING = 1;
    private static final long HARMLESS = 2;

    private final Quarantine quarantine = new Quarantine();
    private long nextGrant = 1;

    private Grant grant(String server, long fingerprint) {
        return new Grant(nextGrant++, server, new HostId("host", 1), TrafficClass.LOOKUP, fingerprint, 0, 0);
    }

    private void crash(String server) {
        Grant crashing = grant(server, CRASHING);
        Grant harmless = grant(server, HARMLESS);
        quarantine.connectionLost(crashing, List.of(harmless), 0);
        quarantine.connectionLost(harmless, List.of(), 0);
    }

    @Test
    void noRequestIsQuarantinedWhileTwoAreSuspectsOfAllCrashes() {
        List.of("s1", "s2", "s3").forEach(this::crash);
        assertEquals(0, quarantine.size());
    }

    @Test
    void responseClearsOneSuspectAndQuarantinesTheOther() {
        List.of("s1", "s2", "s3").forEach(this::crash);
        quarantine.completed(HARMLESS, 0);
        assertTrue(quarantine.remainingNanos(CRASHING, 0) > 0);
        assertEquals(0, quarantine.remainingNanos(HARMLESS, 0));
    }

    @Test
    void crashesOfOneServerDoNotQuarantineRequest() {
        quarantine.completed(HARMLESS, 0);
        for (int count = 0; count < 5; count++) {
            quarantine.connectionLost(grant("s1", CRASHING), List.of(), 0);
        }
        assertEquals(0, quarantine.size());
    }
}
