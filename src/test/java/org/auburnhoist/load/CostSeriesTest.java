package org.auburnhoist.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against a wrong slope in the fits that the capacity documentation uses. */
class CostSeriesTest {
    @Test
    void fitsAStraightLineExactly() {
        CostSeries series = new CostSeries("pull answer", "hosts", "bytes");
        for (int size : new int[] {5, 40, 640}) {
            series.add(size, 41 + 3.0 * size);
        }
        assertEquals(3.0, series.slope(), 1e-9);
        assertEquals(41.0, series.intercept(), 1e-6);
        assertEquals(0.0, series.residual(), 1e-6);
    }

    @Test
    void reportsTheResidualOfACurve() {
        CostSeries series = new CostSeries("quadratic", "hosts", "us");
        for (int size : new int[] {0, 1, 2}) {
            series.add(size, size * size);
        }
        assertEquals(2.0, series.slope(), 1e-9);
        assertEquals(-1.0 / 3, series.intercept(), 1e-9);
        assertEquals(Math.sqrt(2.0 / 9), series.residual(), 1e-9);
    }
}
