package org.auburnhoist.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that run for a team without one of its keys. */
class KeyRingTest {
    private final KeyRing ring = KeyRing.of(Samples.configuration().keys().values());

    @Test
    void acceptsTheSecretOfAKey() {
        assertEquals(
                new KeyCheck.Accepted("school", "school-north"), ring.check("bearer school-north." + Samples.SECRET));
    }

    @Test
    void reportsAWithdrawnKeyOnlyToAHolderOfItsSecret() {
        assertEquals(new KeyCheck.Withdrawn("club", "club-old"), ring.check("Bearer club-old.fixture-secret-of-club"));
        assertEquals(new KeyCheck.Unknown(), ring.check("Bearer club-old.other"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Bearer school-north.wrong",
                "Bearer nobody." + Samples.SECRET,
                "Bearer club-old." + Samples.SECRET,
                "Bearer ." + Samples.SECRET,
                "Bearer " + Samples.SECRET,
                "Bearer school-north.",
                "Bearer school-north",
                "Bearer ",
                "Basic school-north." + Samples.SECRET,
                "Bearer school-north." + Samples.SECRET + ".x",
                "Bearerschool-north." + Samples.SECRET,
            })
    void reportsEveryInvalidKeyAsUnknown(String authorization) {
        assertEquals(new KeyCheck.Unknown(), ring.check(authorization));
    }

    @Test
    void reportsAMissingKey() {
        assertEquals(new KeyCheck.Missing(), ring.check(null));
        assertEquals(new KeyCheck.Missing(), ring.check(" "));
    }

    @Test
    void boundsTheWorkForALongHeader() {
        assertEquals(new KeyCheck.Unknown(), ring.check("Bearer school-north." + "x".repeat(100_000)));
    }
}
