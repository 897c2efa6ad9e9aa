package org.auburnhoist.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Runs random fault schedules against the decision logic of several hosts. */
class FleetPropertiesTest {
    /** Guards against two concurrent owners of a shard and against fresh hosts that miss a settled change. */
    @Property(tries = 60, seed = "3141592653589793238")
    void shardsHaveOneGrantingHostAndFreshHostsHaveSettledVersions(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 6) int count) {
        SimulatedFleet fleet = new SimulatedFleet(seed, count);
        new FaultInjector(fleet).run(100);
        assertEquals(List.of(), fleet.violations.stream().limit(3).toList());
    }

    /** Guards against a second burst, duplicate grants and reserves that add up to more than the burst. */
    @Property(tries = 60, seed = "2718281828459045235")
    void teamsNeverExceedRateAndBurst(@ForAll long seed, @ForAll @IntRange(min = 3, max = 6) int count) {
        SimulatedFleet fleet = new SimulatedFleet(seed, count);
        new FaultInjector(fleet).run(100);
        assertTrue(fleet.granted.maxExcess <= 1e-6, "granted " + fleet.granted.maxExcess + " above the limits");
        assertTrue(fleet.used.maxExcess <= 1e-6, "used " + fleet.used.maxExcess + " above the limits");
    }

    /** Guards against excess from fast clocks and from reserves, which the faults of the other property hide. */
    @Property(tries = 30, seed = "5772156649015328606")
    void burstsAfterIdlePeriodsStayWithinTheLimits(@ForAll long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, 4);
        for (int round = 0; round < 8; round++) {
            fleet.requestsPerStep = 3;
            fleet.run(3);
            fleet.requestsPerStep = 60;
            fleet.run(1 + fleet.random.nextDouble() * 6);
        }
        assertTrue(fleet.granted.maxExcess <= 1e-6, "granted " + fleet.granted.maxExcess + " above the limits");
        assertTrue(fleet.used.maxExcess <= 1e-6, "used " + fleet.used.maxExcess + " above the limits");
    }

    /** Guards against limits that hold only because no tokens are granted. */
    @Property(tries = 5, seed = "1618033988749894848")
    void mostOfTheRateIsGrantedWithoutFaults(@ForAll long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, 5);
        fleet.run(30);
        long before = fleet.used.total;
        fleet.run(30);
        assertTrue(fleet.used.total - before > 30 * 60 * 0.7, "used " + (fleet.used.total - before) + " tokens");
    }
}
