package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Simulates a service under load whose servers fail independently of each other. */
class FailingServersTest {
    private static final Duration DURATION = Duration.ofSeconds(60);
    private static final Duration EPISODE = Duration.ofSeconds(9);
    private static final double FLOOR_SHARE = 0.7;

    /**
     * Each server fails 90% of its requests in 30% of its nine-second windows. Guards against probing failed servers
     * while other servers satisfy the floor; each such probe may lose a booking.
     */
    @Test
    void bookingsAreLostOnlyAtEpisodeStartOrWhenFloorRequiresProbe() {
        int lost = 0;
        int minLost = 0;
        for (int seed = 1; seed <= 3; seed++) {
            var load = new ServiceSimulation.Load(40, 6, 80, 690, 2, 100);
            var episodes = new ServiceSimulation.FailureEpisodes(load.servers(), DURATION, EPISODE, 0.3, 0.9, seed);
            lost += new ServiceSimulation(load, TrafficClass.BOOKING, episodes, seed).run(DURATION).failed;
            minLost += episodes.minLostRequests(FLOOR_SHARE, DURATION);
        }
        assertTrue(lost < 1.4 * minLost, lost + " bookings lost, the minimum is " + minLost);
    }

    /**
     * All servers reject a share of the requests at random that the retry budget covers. Guards against refusing a
     * request after two rejections while time and retry budget are left.
     */
    @Test
    void requestsRejectedByTwoServersAreServedWithinRetryBudget() {
        var load = new ServiceSimulation.Load(10, 6, 40, 300, 2, 100);
        ServiceSimulation simulation = new ServiceSimulation(
                        load,
                        TrafficClass.BOOKING,
                        (server, now, random) ->
                                random.nextDouble() < 0.18 ? AttemptOutcome.REJECTED : AttemptOutcome.SUCCESS,
                        7)
                .run(DURATION);
        // A share of 0.18 x 0.18 of the requests is rejected twice; with all returns, 0.18^6 of them would be refused.
        assertTrue(
                simulation.refused < 0.005 * simulation.requested,
                simulation.refused + " of " + simulation.requested + " refused");
    }
}
