package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against hosts that ignore what the store says after it was restored from an older copy, because its revisions
 * are lower than those that they have read before.
 */
class RestoredStoreTest {
    /** Time that is left for the work of the hosts and the way of a request, which the simulation does not have. */
    private static final long RESERVE_MILLIS = 300;

    private static final int FIRST_LEAVING = 12;
    private static final int LAST_LEAVING = 24;
    private static final double RETURN_SECOND = 21;

    /** Lets servers come and go, restores the store to a copy from before, and lets more servers leave. */
    private static RegistrationFleet restoredFleet(int hosts, long seed) {
        RegistrationFleet fleet = new RegistrationFleet(hosts, seed);
        for (int server = 0; server < FIRST_LEAVING; server++) {
            fleet.leave(server, 5 + server * 0.5);
            fleet.end(server, 8 + server * 0.5);
        }
        fleet.restoreStore(RETURN_SECOND - 1, 1, 16);
        return fleet;
    }

    @ParameterizedTest
    @CsvSource({"36, 2000", "98, 2500", "143, 3000"})
    void aServerThatLeavesAfterTheReturnIsLeftAlone(int hosts, long drainMillis, TestInfo test) {
        RegistrationFleet fleet = restoredFleet(hosts, 31);
        long worst = 0;
        double second = RETURN_SECOND + 1;
        for (int server = FIRST_LEAVING; server < LAST_LEAVING; server++) {
            second += 0.7;
            fleet.leave(server, second);
        }
        for (int server = FIRST_LEAVING; server < LAST_LEAVING; server++) {
            double now = RETURN_SECOND + 1.7 + (server - FIRST_LEAVING) * 0.7;
            double end = now + 2 * drainMillis / 1000.0;
            fleet.runUntil(now);
            while (!fleet.isKnownEverywhere(server) && now < end) {
                now += 0.01;
                fleet.runUntil(now);
            }
            worst = Math.max(worst, fleet.millisSinceLeft(server));
        }
        System.out.printf(
                "%s %s: known everywhere after at most %d ms%n",
                test.getTestMethod().orElseThrow().getName(), test.getDisplayName(), worst);
        assertTrue(
                worst <= drainMillis - RESERVE_MILLIS, "known everywhere after " + worst + " ms, bound " + drainMillis);
    }
}
