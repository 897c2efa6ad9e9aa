package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a request that crashes servers again after each change of the host that counts the crashes: over all
 * hosts, at most three of its attempts may reach a server later than three seconds after the third crash.
 */
class FleetCrashCountTest {
    private static final long MAX_LATE_CRASHES = 3;
    private static final double INTERVAL_SECONDS = 1.5;

    private static SlotFleet fleet(int hosts, long seed) {
        int servers = Math.max(8, hosts / 2);
        SlotFleet created = new SlotFleet(new SlotFleet.Load(hosts, servers, hosts * 1.3, 0, 0.2, 60), seed);
        created.sendCrashingRequest(8, INTERVAL_SECONDS);
        return created;
    }

    private static void assertFewLateCrashes(SlotFleet fleet, double until) {
        fleet.runUntil(until);
        assertTrue(fleet.crashes.size() >= 3, () -> "crashes: expected at least 3, got " + fleet.crashes.size());
        assertTrue(
                fleet.lateCrashes() <= MAX_LATE_CRASHES,
                () -> "attempts that reached a server over 3 s after the third crash: expected at most 3, got "
                        + fleet.lateCrashes() + " of " + fleet.crashes.size());
    }

    /** Guards against a count that ends after three crashes, or later, while nothing else happens. */
    @ParameterizedTest
    @CsvSource({"3, 1", "36, 2", "94, 3", "143, 4"})
    void oneDispatcherLetsThreeServersCrash(int hosts, long seed) {
        SlotFleet fleet = fleet(hosts, seed);
        fleet.runUntil(40);
        assertEquals(3, fleet.crashes.size());
    }

    /** Guards against a record that costs more than the reports with which it goes. */
    @ParameterizedTest
    @CsvSource({"36, 2", "94, 3", "143, 4"})
    void recordTakesAtMostTwoMessagesEachSecondOfAHost(int hosts, long seed) {
        SlotFleet fleet = fleet(hosts, seed);
        fleet.runUntil(38);
        int before = fleet.recordMessages;
        fleet.runUntil(48);
        int afterCrashes = fleet.recordMessages - before;
        assertTrue(afterCrashes <= 2 * 10 * hosts, () -> "messages in ten seconds: " + afterCrashes);
    }

    @ParameterizedTest
    @CsvSource({"3, 1", "3, 2", "36, 1", "36, 2", "94, 3", "143, 4"})
    void dispatchersKilledInSuccession(int hosts, long seed) {
        SlotFleet fleet = fleet(hosts, seed);
        for (double second = 16; second < 60; second += 5) {
            fleet.schedule(second, fleet::killDispatcher);
        }
        assertFewLateCrashes(fleet, 70);
    }

    /** Guards against a count that starts again while it is still below three. */
    @ParameterizedTest
    @CsvSource({"36, 1", "36, 2", "94, 3", "143, 4"})
    void dispatchersKilledBeforeTheThirdCrash(int hosts, long seed) {
        SlotFleet fleet = fleet(hosts, seed);
        for (double second = 10.5; second < 60; second += 2.5) {
            fleet.schedule(second, fleet::killDispatcher);
        }
        assertFewLateCrashes(fleet, 70);
    }

    @ParameterizedTest
    @CsvSource({"36, 1", "36, 2", "94, 3", "143, 4"})
    void twoDispatchersAtOnce(int hosts, long seed) {
        SlotFleet fleet = fleet(hosts, seed);
        fleet.schedule(6, () -> fleet.splitIntoGroups(2, 14));
        fleet.schedule(30, () -> fleet.splitIntoGroups(2, 10));
        assertFewLateCrashes(fleet, 70);
    }

    @ParameterizedTest
    @CsvSource({"36, 1", "36, 2", "94, 3", "143, 4"})
    void hostsAddedWhileARequestIsRefused(int hosts, long seed) {
        SlotFleet fleet = fleet(hosts, seed);
        for (double second = 14; second < 60; second += 4) {
            fleet.schedule(second, () -> fleet.addHosts(Math.max(1, hosts / 8)));
        }
        assertFewLateCrashes(fleet, 70);
    }

    /** Guards against any mix of changes of the dispatcher, with one partition into two groups. */
    @ParameterizedTest
    @CsvSource({"36, 1", "36, 2", "36, 3", "36, 4", "36, 5", "36, 6", "94, 7", "94, 8", "143, 9", "143, 10"})
    void anyMixOfChanges(int hosts, long seed) {
        SlotFleet fleet = fleet(hosts, seed);
        SplittableRandom random = new SplittableRandom(seed);
        fleet.schedule(10 + 30 * random.nextDouble(), () -> fleet.splitIntoGroups(2, 8));
        for (int count = 0; count < 10; count++) {
            double second = 9 + random.nextDouble() * 50;
            double fraction = random.nextDouble();
            switch (random.nextInt(4)) {
                case 0, 1 -> fleet.schedule(second, fleet::killDispatcher);
                case 2 -> fleet.schedule(second, () -> fleet.kill(fraction / 2));
                default -> fleet.schedule(second, () -> fleet.addHosts((int) (hosts * fraction / 4)));
            }
        }
        assertFewLateCrashes(fleet, 70);
    }
}
