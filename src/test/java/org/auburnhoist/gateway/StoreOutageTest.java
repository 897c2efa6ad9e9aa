package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against the loss of healthy servers whose registrations expire in a store outage, and against removals that
 * are mistaken for such an expiry.
 */
class StoreOutageTest {
    private static final long SECOND = 1_000_000_000L;

    private final StoreOutage outage = new StoreOutage();

    @Test
    void registrationsMayBeMissingShortlyAfterALongOutage() {
        assertTrue(outage.readFailed(10 * SECOND, 10 * SECOND));
        assertFalse(outage.readFailed(10 * SECOND, 12 * SECOND));
        assertFalse(outage.mayLackRegistrations(13 * SECOND));
        assertEquals(4 * SECOND, outage.readSucceeded(14 * SECOND));
        assertTrue(outage.mayLackRegistrations(16 * SECOND));
        assertFalse(outage.mayLackRegistrations(17 * SECOND));
    }

    @Test
    void registrationsOutliveAShortOutage() {
        outage.readFailed(10 * SECOND, 10 * SECOND);
        assertEquals(SECOND, outage.readSucceeded(11 * SECOND));
        assertFalse(outage.mayLackRegistrations(11 * SECOND));
    }

    /** A host that reads the store directly again only at 27 s must not keep a server that was removed at 26 s. */
    @Test
    void aReadOfAnotherHostEndsTheOutage() {
        outage.readFailed(18 * SECOND, 18 * SECOND);
        outage.readFailed(18 * SECOND, 22 * SECOND);
        assertEquals(-1, outage.readSucceeded(21 * SECOND), "a read that began before the last failure proves nothing");
        assertEquals(5 * SECOND, outage.readSucceeded(23 * SECOND));
        assertEquals(-1, outage.readSucceeded(27 * SECOND));
        assertFalse(outage.mayLackRegistrations(27 * SECOND));
    }

    /**
     * Guards against healthy servers that a host drops after an outage of three to four seconds: it reads the store
     * only when the coordinator's reads are too old, so its own first failure comes seconds after the outage's begin.
     */
    @Test
    void theOutageCountsFromTheLastReadOfAnyHost() {
        assertTrue(outage.readFailed(10 * SECOND, 12_450_000_000L));
        outage.readSucceeded(13_500_000_000L);
        assertTrue(outage.mayLackRegistrations(14 * SECOND));
    }
}
