package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;

/** Guards requests that happened to run beside a crashing one. */
class QuarantineTest {
    private static final long CRASHING = 1;
    private static final long INNOCENT = 2;

    private final Quarantine quarantine = new Quarantine();
    private long nextGrant = 1;

    private Grant grant(String server, long fingerprint) {
        return new Grant(nextGrant++, server, new HostId("host", 1), TrafficClass.LOOKUP, fingerprint, 0, 0);
    }

    private void death(String server) {
        Grant crashing = grant(server, CRASHING);
        Grant innocent = grant(server, INNOCENT);
        quarantine.connectionLost(crashing, List.of(innocent), 0);
        quarantine.connectionLost(innocent, List.of(), 0);
    }

    @Test
    void noneIsQuarantinedWhileTwoRequestsShareAllDeaths() {
        List.of("s1", "s2", "s3").forEach(this::death);
        assertEquals(0, quarantine.size());
    }

    @Test
    void anAnswerClearsTheInnocentAndConvictsTheOther() {
        List.of("s1", "s2", "s3").forEach(this::death);
        quarantine.survived(INNOCENT, 0);
        assertTrue(quarantine.remainingNanos(CRASHING, 0) > 0);
        assertEquals(0, quarantine.remainingNanos(INNOCENT, 0));
    }

    @Test
    void deathsOfOneServerConvictNobody() {
        quarantine.survived(INNOCENT, 0);
        for (int count = 0; count < 5; count++) {
            quarantine.connectionLost(grant("s1", CRASHING), List.of(), 0);
        }
        assertEquals(0, quarantine.size());
    }
}
