package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.auburnhoist.platform.StoreEras.ResponseEra;
import org.auburnhoist.platform.StoreEras.Standing;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against hosts that take an outdated or malformed response of the store for the newest, or all later responses
 * for outdated.
 */
class StoreErasTest {
    private final StoreEras eras = new StoreEras();

    private ResponseEra eraOf(@Nullable String header) {
        return eras.eraOf(header, 0);
    }

    @Test
    void aHigherEraCountsOnceTwoResponsesNameIt() {
        assertEquals(new ResponseEra(3, Standing.CURRENT), eraOf("3"));
        assertEquals(new ResponseEra(3, Standing.CURRENT), eraOf("3"));
        assertEquals(new ResponseEra(4, Standing.UNCONFIRMED), eraOf("4"));
        assertEquals(new ResponseEra(4, Standing.CURRENT), eraOf("4"));
    }

    /** The response of a read that began before the return may arrive after one that began later. */
    @Test
    void aResponseOfAnEarlierEraIsOutdated() {
        eraOf("3");
        eraOf("4");
        eraOf("4");
        assertEquals(new ResponseEra(3, Standing.OUTDATED), eraOf("3"));
        assertEquals(new ResponseEra(4, Standing.CURRENT), eraOf("4"));
    }

    @Test
    void oneMalformedHigherEraHasNoEffect() {
        eraOf("3");
        eraOf("3");
        assertEquals(Standing.UNCONFIRMED, eraOf("900").standing());
        assertEquals(new ResponseEra(3, Standing.CURRENT), eraOf("3"));
        assertEquals(Standing.UNCONFIRMED, eraOf("900").standing(), "named once before, and not since");
    }

    @Test
    void aMalformedFirstEraHasNoEffect() {
        eraOf("900");
        assertEquals(new ResponseEra(3, Standing.CURRENT), eraOf("3"));
        assertEquals(new ResponseEra(3, Standing.CURRENT), eraOf("3"));
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "x", "-1", "4.0", "99999999999999999999"})
    void aResponseWithoutAValidEraIsTakenForOneOfTheCurrentEra(@Nullable String header) {
        eraOf("3");
        eraOf("3");
        assertEquals(new ResponseEra(3, Standing.CURRENT), eraOf(header));
        assertEquals(new ResponseEra(3, Standing.CURRENT), eraOf("3"));
    }

    @Test
    void aStoreThatNamesNoEraIsOfEraZero() {
        assertEquals(new ResponseEra(0, Standing.CURRENT), eraOf(null));
        assertEquals(new ResponseEra(0, Standing.CURRENT), eraOf(null));
    }
}
