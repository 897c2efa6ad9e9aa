package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.DoubleStream;
import org.auburnhoist.core.message.ReportedLimit;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a bound on a server's limit that holds by chance: each part of the design is left out once, and the
 * same check must then fail.
 */
class PlantedLimitFaultsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long STEP = SECOND / 100;
    private static final int ARRIVALS_PER_STEP = 4;
    private static final long WINDOW = 4 * SECOND;
    private static final long ANSWER_DELAY = SECOND / 5;
    private static final String SERVER = "i-1";

    private static UpstreamServer server(long startedMillis) {
        return new UpstreamServer(SERVER, startedMillis, "pay", "10.0.0.1:80", "a", 6, false, 0);
    }

    private static ServerLimits dispatcher(double share) {
        ServerLimits limits = new ServerLimits();
        limits.updateServers(List.of(server(5)));
        limits.updateShare(share);
        return limits;
    }

    private static boolean tryGrant(ServerLimits limits, long nowNanos) {
        boolean allowed = limits.allowsRequest(SERVER, nowNanos);
        if (allowed) {
            limits.recordGrant(SERVER, nowNanos);
        }
        return allowed;
    }

    /** The most requests in four seconds, as a share of those that a server with a limit tolerates. */
    private static double worstUse(List<Long> requests, double perSecond) {
        double worst = 0;
        int first = 0;
        for (int last = 0; last < requests.size(); last++) {
            while (requests.get(first) <= requests.get(last) - WINDOW) {
                first++;
            }
            worst = Math.max(worst, (last - first + 1) / (1.5 * 4 * perSecond + 5));
        }
        return worst;
    }

    /** Several dispatchers at the same time, as in a partition, each with demand beyond its share. */
    private static double useOfDispatchersInPartition(double perSecond, double... shares) {
        List<ServerLimits> dispatchers = DoubleStream.of(shares)
                .mapToObj(PlantedLimitFaultsTest::dispatcher)
                .toList();
        dispatchers.forEach(limits -> limits.recordAnswer(SERVER, StatedLimit.of(perSecond), 0, 0));
        List<Long> requests = new ArrayList<>();
        for (long now = 0; now < 30 * SECOND; now += STEP) {
            for (ServerLimits limits : dispatchers) {
                if (tryGrant(limits, now)) {
                    requests.add(now);
                }
            }
        }
        return worstUse(requests, perSecond);
    }

    /** A new dispatcher every second, which is told of the limit by the asking hosts, or only by the server itself. */
    private static double useOfSuccessiveDispatchers(double perSecond, boolean reported) {
        List<Long> requests = new ArrayList<>();
        for (long start = 0; start < 30 * SECOND; start += SECOND) {
            ServerLimits limits = dispatcher(1);
            for (long now = start; now < start + SECOND; now += STEP) {
                if (reported) {
                    limits.recordReport(new ReportedLimit(SERVER, 5, perSecond, 100), now);
                } else if (now - start >= ANSWER_DELAY) {
                    limits.recordAnswer(SERVER, StatedLimit.of(perSecond), now - ANSWER_DELAY, now);
                }
                for (int arrival = 0; arrival < ARRIVALS_PER_STEP; arrival++) {
                    if (tryGrant(limits, now)) {
                        requests.add(now);
                    }
                }
            }
        }
        return worstUse(requests, perSecond);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 5, 40})
    void dispatchersWithAFullShareEach(double perSecond) {
        assertTrue(useOfDispatchersInPartition(perSecond, 1, 0.2, 0.2) <= 1);
        assertFalse(useOfDispatchersInPartition(perSecond, 1, 1, 1) <= 1);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 5, 40})
    void aNewDispatcherThatIsNotToldOfTheLimit(double perSecond) {
        assertTrue(useOfSuccessiveDispatchers(perSecond, true) <= 1);
        assertFalse(useOfSuccessiveDispatchers(perSecond, false) <= 1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLimitThatOutlivesItsServer(boolean registrationRead) {
        ServerLimits limits = dispatcher(1);
        limits.recordAnswer(SERVER, StatedLimit.of(1), 0, 0);
        if (registrationRead) {
            limits.updateServers(List.of(server(9)));
        }
        int granted = 0;
        for (long now = 0; now < SECOND; now += STEP) {
            granted += tryGrant(limits, now) ? 1 : 0;
        }
        assertEquals(registrationRead ? 100 : 0, granted);
    }
}
