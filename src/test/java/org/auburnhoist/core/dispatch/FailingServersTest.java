package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** A service under the loads in which servers fail by themselves. */
class FailingServersTest {
    private static final Duration TIME = Duration.ofSeconds(60);
    private static final Duration SPELL = Duration.ofSeconds(9);
    private static final double FLOOR_SHARE = 0.7;

    /**
     * Pattern: each server fails nine of ten requests in three of ten windows of nine seconds. Guards against trials of
     * servers that have failed while others would keep the floor; each such trial may lose a booking.
     */
    @Test
    void bookingsAreLostOnlyWhereAFailureBeginsOrTheFloorNeedsATrial() {
        int lost = 0;
        int fewest = 0;
        for (int seed = 1; seed <= 3; seed++) {
            var load = new ServiceSimulation.Load(40, 6, 80, 690, 2, 100);
            var spells = new ServiceSimulation.Spells(load.servers(), TIME, SPELL, 0.3, 0.9, seed);
            lost += new ServiceSimulation(load, TrafficClass.BOOKING, spells, seed).run(TIME).failed;
            fewest += spells.fewestLost(FLOOR_SHARE, TIME);
        }
        assertTrue(lost < 1.4 * fewest, lost + " bookings lost, at least " + fewest + " must be");
    }

    /**
     * Pattern: all servers reject a part of the requests at random, fewer than the budget of further attempts covers.
     * Guards against refusals after two rejections while time and budget are left.
     */
    @Test
    void requestsThatTwoServersRejectedAreServedWithinTheBudget() {
        var load = new ServiceSimulation.Load(10, 6, 40, 300, 2, 100);
        ServiceSimulation simulation = new ServiceSimulation(
                        load,
                        TrafficClass.BOOKING,
                        (server, now, random) ->
                                random.nextDouble() < 0.18 ? AttemptOutcome.REJECTED : AttemptOutcome.SUCCESS,
                        7)
                .run(TIME);
        // Of the requests, 0.18 x 0.18 are rejected twice; with all returns 0.18 to the sixth would be refused.
        assertTrue(
                simulation.refused < 0.005 * simulation.asked,
                simulation.refused + " of " + simulation.asked + " refused");
    }
}
