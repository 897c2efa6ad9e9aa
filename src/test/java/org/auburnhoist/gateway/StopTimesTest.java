package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against planned stops that refuse callers who could not know of the stop yet. */
class StopTimesTest {
    /** Callers use an address for up to three times its validity, and the other hosts learn of the stop later. */
    @ParameterizedTest
    @ValueSource(ints = {500, 3_000, 6_000, 10_000, 60_000})
    void callersHaveLeftAHostBeforeItRefusesThem(int stopLimitMillis) {
        StopTimes times = StopTimes.within(Duration.ofMillis(stopLimitMillis));
        Duration used = times.addressValidity().multipliedBy(3);
        assertTrue(times.accepting().compareTo(used) > 0, times.toString());
        assertTrue(times.accepting().toMillis() <= stopLimitMillis / 2, times.toString());
        assertTrue(times.draining().toMillis() < stopLimitMillis, times.toString());
    }
}
