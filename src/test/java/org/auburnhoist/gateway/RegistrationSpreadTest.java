package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.BiConsumer;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a server that gets new requests too long after it has begun to leave, because a host in contact with
 * the store learns of it too late, while the coordinator is lost at any moment.
 */
class RegistrationSpreadTest {
    private static final int SERVERS = 24;
    private static final double FIRST_SECOND = 10;
    private static final double INTERVAL_SECONDS = 6.13;
    /** Time that is left for the work of the hosts and the way of a request, which the simulation does not have. */
    private static final long RESERVE_MILLIS = 300;

    /** Lets a server leave every few seconds, each time with a disturbance somewhat later than the time before. */
    private static long worstMillis(int hosts, long seed, BiConsumer<RegistrationFleet, Double> disturbance) {
        RegistrationFleet fleet = new RegistrationFleet(hosts, seed);
        long worst = 0;
        for (int server = 0; server < SERVERS; server++) {
            double second = FIRST_SECOND + server * INTERVAL_SECONDS;
            fleet.leave(server, second);
            disturbance.accept(fleet, second - 1.2 + server * 0.1);
            fleet.runUntil(second);
            double now = second;
            do {
                now += 0.01;
                fleet.runUntil(now);
            } while (!fleet.isKnownEverywhere(server) && now < second + INTERVAL_SECONDS - 2);
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
    void withoutDisturbance(int hosts, long drainMillis, TestInfo test) {
        assertInTime(test, drainMillis, worstMillis(hosts, 1, (fleet, second) -> {}));
    }

    @ParameterizedTest
    @CsvSource({"36, 2000", "98, 2500", "143, 3000"})
    void coordinatorKilled(int hosts, long drainMillis, TestInfo test) {
        assertInTime(
                test,
                drainMillis,
                worstMillis(hosts, 2, (fleet, second) -> fleet.schedule(second, fleet::killCoordinator)));
    }

    @ParameterizedTest
    @CsvSource({"36, 2000", "98, 2500", "143, 3000"})
    void coordinatorCutOff(int hosts, long drainMillis, TestInfo test) {
        assertInTime(
                test,
                drainMillis,
                worstMillis(hosts, 3, (fleet, second) -> fleet.schedule(second, () -> fleet.cutCoordinator(2.5))));
    }

    @ParameterizedTest
    @CsvSource({"36, 2000", "98, 2500", "143, 3000"})
    void coordinatorCutOffFromTheStore(int hosts, long drainMillis, TestInfo test) {
        assertInTime(
                test,
                drainMillis,
                worstMillis(
                        hosts, 4, (fleet, second) -> fleet.schedule(second, () -> fleet.cutCoordinatorFromStore(2.5))));
    }

    @ParameterizedTest
    @CsvSource({"36, 2000", "98, 2500", "143, 3000"})
    void thirdOfTheHostsCutOff(int hosts, long drainMillis, TestInfo test) {
        assertInTime(
                test,
                drainMillis,
                worstMillis(hosts, 5, (fleet, second) -> fleet.schedule(second, () -> fleet.cut(0.3, 2.2))));
    }
}
