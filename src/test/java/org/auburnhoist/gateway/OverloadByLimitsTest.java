package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.auburnhoist.core.message.StatedLimit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that wait until their deadline in vain, while the servers of a service together accept fewer
 * requests than callers send.
 */
class OverloadByLimitsTest {
    /** The hosts, servers and requests of a payment service of the users. */
    private static final SlotFleet.Load LOAD = new SlotFleet.Load(40, 18, 46, 0, 0.2, 60);

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1, 1.5, 2.2})
    void requestsAreServedInTimeOrRefusedAtOnce(double perSecond) {
        LimitedServers servers = new LimitedServers();
        SlotFleet fleet = new SlotFleet(LOAD, servers, 5);
        for (int server = 0; server < LOAD.servers(); server++) {
            servers.state("i-" + server, 5, StatedLimit.of(perSecond));
        }
        fleet.runUntil(60);
        List<SlotFleet.Wait> waits = fleet.waits.stream()
                .filter(wait -> wait.askedNanos() > 20 * SlotFleet.SECOND && wait.askedNanos() < 50 * SlotFleet.SECOND)
                .toList();
        double served = servers.arrivalsPerSecond(20, 50) / (LOAD.servers() * perSecond);
        assertTrue(served >= 0.95, () -> "share of the limits that was used: " + served);
        List<Double> granted = millis(waits, true);
        List<Double> refused = millis(waits, false);
        double longest = Stream.concat(granted.stream(), refused.stream())
                .max(Double::compare)
                .orElseThrow();
        assertTrue(longest <= SlotFleet.TARGET_MILLIS, () -> "longest wait in ms: " + longest);
        // The users' platform regards a refusal within an eighth of the target latency as immediate.
        double average = refused.stream().mapToDouble(wait -> wait).average().orElseThrow();
        assertTrue(
                average <= SlotFleet.TARGET_MILLIS / 8.0,
                () -> "average wait before a refusal in ms: " + average + ", refused " + refused.size());
    }

    private static List<Double> millis(List<SlotFleet.Wait> waits, boolean granted) {
        return waits.stream()
                .filter(wait -> wait.granted() == granted)
                .map(wait -> wait.waitedNanos() / (double) SlotFleet.MILLI)
                .toList();
    }
}
