package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against more retries than a service tolerates in ten seconds over all hosts, while its servers reject most
 * requests and the hosts that decide about retries change.
 */
class FleetRetryBudgetTest {
    /** As many servers, requests and retries as a fleet of three dozen hosts has. */
    private static final SlotFleet.Load LOAD = new SlotFleet.Load(30, 40, 120, 0.6, 0.2, 58);

    private static void assertWithinTolerance(SlotFleet fleet) {
        fleet.runUntil(40);
        double use = fleet.worstBudgetUse();
        assertTrue(
                use <= 1,
                () -> "retries of the worst ten seconds: " + use + " of those tolerated, served " + fleet.served
                        + " of " + fleet.requests.size());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void dispatchersKilledInSuccession(long seed) {
        SlotFleet fleet = new SlotFleet(LOAD, seed);
        for (double second = 12; second < 30; second += 2.5) {
            fleet.schedule(second, fleet::killDispatcher);
        }
        assertWithinTolerance(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hostsPartitionedFromAllOthers(long seed) {
        SlotFleet fleet = new SlotFleet(LOAD, seed);
        fleet.schedule(12, () -> fleet.partition(0.5, 12));
        fleet.schedule(26, () -> fleet.partition(0.5, 6));
        assertWithinTolerance(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void allHostsKilledTwice(long seed) {
        SlotFleet fleet = new SlotFleet(LOAD, seed);
        fleet.schedule(15, () -> fleet.kill(1));
        fleet.schedule(19, () -> fleet.kill(1));
        assertWithinTolerance(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void anyMixOfPartitionsAndKills(long seed) {
        SlotFleet fleet = new SlotFleet(LOAD, seed);
        SplittableRandom times = new SplittableRandom(seed);
        for (int count = 0; count < 8; count++) {
            double second = 5 + times.nextDouble() * 30;
            double fraction = times.nextDouble();
            switch (times.nextInt(3)) {
                case 0 -> fleet.schedule(second, fleet::killDispatcher);
                case 1 -> fleet.schedule(second, () -> fleet.kill(fraction));
                default -> fleet.schedule(second, () -> fleet.partition(fraction, 2 + 8 * fraction));
            }
        }
        assertWithinTolerance(fleet);
    }
}
