package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against hosts that ignore what the store says after it was restored from an older copy, because its revisions
 * are lower than those that they have read before, and against hosts that believe what only the copy says.
 */
class RestoredStoreTest {
    /** Time that is left for the work of the hosts and the way of a request, which the simulation does not have. */
    private static final long RESERVE_MILLIS = 300;

    private static final int FIRST_LEAVING = 12;
    private static final int LAST_LEAVING = 24;
    private static final double RETURN_SECOND = 21;
    private static final double STEP_SECONDS = 0.01;

    /** Lets servers come and go, then restores the store from a copy of before. */
    private static RegistrationFleet restoredFleet(int hosts, long seed) {
        RegistrationFleet fleet = new RegistrationFleet(hosts, seed);
        for (int server = 0; server < FIRST_LEAVING; server++) {
            fleet.leave(server, 5 + server * 0.5);
            fleet.end(server, 8 + server * 0.5);
        }
        fleet.restoreStore(RETURN_SECOND - 1, 1, 16);
        return fleet;
    }

    /** Lets servers leave after the return, and returns how long the slowest calm host took to learn of one. */
    private static long worstMillis(RegistrationFleet fleet, double firstSecond, long drainMillis) {
        double intervalSeconds = 0.7;
        for (int server = FIRST_LEAVING; server < LAST_LEAVING; server++) {
            fleet.leave(server, firstSecond + (server - FIRST_LEAVING) * intervalSeconds);
        }
        long worst = 0;
        for (int server = FIRST_LEAVING; server < LAST_LEAVING; server++) {
            double now = firstSecond + (server - FIRST_LEAVING) * intervalSeconds;
            double end = now + 2 * drainMillis / 1000.0;
            fleet.runUntil(now);
            while (!fleet.isKnownEverywhere(server) && now < end) {
                now += STEP_SECONDS;
                fleet.runUntil(now);
            }
            worst = Math.max(worst, fleet.millisSinceLeft(server));
        }
        return worst;
    }

    private static void assertInTime(TestInfo test, long boundMillis, long worstMillis) {
        System.out.printf(
                "%s %s: known everywhere after at most %d ms, %d ms left%n",
                test.getTestMethod().orElseThrow().getName(),
                test.getDisplayName(),
                worstMillis,
                boundMillis - worstMillis);
        assertTrue(
                worstMillis <= boundMillis - RESERVE_MILLIS,
                "known everywhere after " + worstMillis + " ms, bound " + boundMillis);
    }

    @ParameterizedTest
    @CsvSource({"36, 2000", "98, 2500", "143, 3000"})
    void aServerThatLeavesAfterTheReturnIsLeftAlone(int hosts, long drainMillis, TestInfo test) {
        RegistrationFleet fleet = restoredFleet(hosts, 31);
        assertInTime(test, drainMillis, worstMillis(fleet, RETURN_SECOND + 1.7, drainMillis));
    }

    @ParameterizedTest
    @CsvSource({"36, 2000", "98, 2500", "143, 3000"})
    void theSameHoldsIfTheCoordinatorIsKilledAtTheReturn(int hosts, long drainMillis, TestInfo test) {
        RegistrationFleet fleet = restoredFleet(hosts, 32);
        fleet.schedule(RETURN_SECOND + 0.2, fleet::killCoordinator);
        assertInTime(test, drainMillis, worstMillis(fleet, RETURN_SECOND + 1.7, drainMillis));
    }

    /** Revisions that are given out a third time must not be taken for those of the second era. */
    @ParameterizedTest
    @CsvSource({"36, 2000", "98, 2500", "143, 3000"})
    void theSameHoldsAfterASecondReturn(int hosts, long drainMillis, TestInfo test) {
        RegistrationFleet fleet = restoredFleet(hosts, 33);
        fleet.restoreStore(RETURN_SECOND + 1.5, 1, 3);
        assertInTime(test, drainMillis, worstMillis(fleet, RETURN_SECOND + 4.2, drainMillis));
    }

    /** Guards against requests to servers that have left and are listed again only because the copy lists them. */
    @ParameterizedTest
    @ValueSource(ints = {36, 98, 143})
    void aServerThatHasLeftDoesNotComeBackFromTheCopy(int hosts) {
        RegistrationFleet fleet = restoredFleet(hosts, 34);
        for (double now = RETURN_SECOND - 1; now < RETURN_SECOND + 12; now += 0.05) {
            fleet.runUntil(now);
            for (int server = 0; server < FIRST_LEAVING; server++) {
                assertEquals(0, fleet.hostsThatUse(server), "hosts that use server " + server + " at " + now + " s");
            }
        }
    }

    /** Guards against the loss of servers that the copy does not list yet, until they have registered again. */
    @ParameterizedTest
    @ValueSource(ints = {36, 98, 143})
    void aServerThatHasJoinedSinceTheCopyStaysInUse(int hosts) {
        RegistrationFleet fleet = new RegistrationFleet(hosts, 35);
        int joined = 77;
        fleet.register(joined, 10);
        fleet.restoreStore(RETURN_SECOND - 1, 1, 16);
        for (double now = 12; now < RETURN_SECOND + 12; now += 0.05) {
            fleet.runUntil(now);
            assertEquals(hosts, fleet.hostsThatUse(joined), "hosts that use the server at " + now + " s");
        }
    }

    /** Guards against an older configuration, with a withdrawn key, on a host that starts before the rewriting. */
    @ParameterizedTest
    @ValueSource(ints = {36, 98, 143})
    void aHostThatStartsAfterTheReturnServesTheNewestConfiguration(int hosts) {
        long newest = 7;
        RegistrationFleet fleet = new RegistrationFleet(hosts, 36);
        fleet.configure(newest, 10);
        fleet.restoreStore(RETURN_SECOND - 1, 1, 16);
        fleet.schedule(RETURN_SECOND - 1, fleet::killCoordinator);
        fleet.schedule(RETURN_SECOND - 0.9, () -> fleet.killHosts(5));
        for (double now = 12; now < RETURN_SECOND + 6; now += 0.05) {
            fleet.runUntil(now);
            assertEquals(newest, fleet.lowestVersionServed(), "lowest version in force at " + now + " s");
        }
    }
}
