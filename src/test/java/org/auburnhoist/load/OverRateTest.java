package org.auburnhoist.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a count that misses admissions beyond the rate, or reports some where there are none. */
class OverRateTest {
    private static final long MILLI = 1_000_000L;

    private static List<OverRate.Admitted> steady(int count, long gapMillis) {
        List<OverRate.Admitted> admitted = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            admitted.add(new OverRate.Admitted(index * gapMillis * MILLI, (index * gapMillis + 20) * MILLI));
        }
        return admitted;
    }

    @Test
    void isZeroAtTheAllowedRate() {
        assertEquals(0, OverRate.excess(steady(300, 100), 10, 1));
        assertEquals(0, OverRate.excess(List.of(), 10, 1));
    }

    @Test
    void countsWhatABurstAndTheRateDoNotCover() {
        List<OverRate.Admitted> admitted = new ArrayList<>(steady(300, 100));
        for (int index = 0; index < 20; index++) {
            admitted.add(new OverRate.Admitted(5_000 * MILLI, 5_010 * MILLI));
        }
        // 23 ends in the 250 ms from 5 s on, of which 5 and 2.5 are allowed.
        assertEquals(16, OverRate.excess(admitted, 10, 5));
    }

    @Test
    void detectsASmallExcessOverALongTime() {
        assertEquals(45, OverRate.excess(steady(600, 80), 10, 75), 2);
    }
}
