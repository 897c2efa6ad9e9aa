package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SchedulingParameters;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.api.Test;

/**
 * Pattern: some servers of a service are in trouble that only a few hosts see, and still serve the others. Guards
 * against a floor that counts them, so that of the servers without any trouble too few are used.
 */
class FloorOfUndisturbedServersTest {
    private static final long MILLI = 1_000_000L;
    private static final int SERVERS = 13;
    private static final int DISTURBED = 7;
    private static final double FLOOR_SHARE = 0.7;
    private static final HostId CUT_OFF = new HostId("host-cut-off", 1);
    private static final HostId WELL = new HostId("host-well", 1);

    private final PriorityDispatcher dispatcher = new PriorityDispatcher(
            new PriorityDispatcherSettings(
                    new FloorSettings(FLOOR_SHARE, Duration.ofSeconds(6)), Duration.ofMillis(500)),
            new Random(5));
    private final Map<Long, Deque<Runnable>> ends = new HashMap<>();
    private final Map<Integer, Long> grantedAtMillis = new HashMap<>();
    private long token = 1;
    private long nowMillis;

    private static List<UpstreamServer> servers() {
        List<UpstreamServer> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            servers.add(new UpstreamServer("s-" + number, 1, "pay", "10.0.0.1:" + (80 + number), "a", 6, false, 0));
        }
        return servers;
    }

    /** One request in fifteen comes from a host that cannot reach the disturbed servers. */
    private void request(boolean fromCutOff, List<String> connected) {
        HostId asking = fromCutOff ? CUT_OFF : WELL;
        SchedulingParameters terms = new SchedulingParameters(1, 2_000, 1, "a", connected);
        SlotRequest request = new SlotRequest("pay", "r", "t", TrafficClass.LOOKUP, 8_000, token, List.of(), terms);
        for (SlotDecision decision : dispatcher.request(request, asking, token++, nowMillis * MILLI)) {
            if (decision.answer().verdict() == SlotVerdict.GRANTED) {
                int number = Integer.parseInt(decision.answer().server().substring(2));
                boolean lost = fromCutOff && number < DISTURBED;
                grantedAtMillis.put(number, nowMillis);
                AttemptOutcome outcome = lost ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS;
                long millis = lost ? 300 : 500;
                SlotRelease release = new SlotRelease("pay", decision.answer().grantId(), outcome, millis * 1_000);
                ends.computeIfAbsent(nowMillis + millis, key -> new ArrayDeque<>())
                        .add(() -> dispatcher.release(release, asking, nowMillis * MILLI));
            }
        }
    }

    @Test
    void enoughServersWithoutTroubleAreUsedInEveryTwoSeconds() {
        dispatcher.updateServers(servers(), 0);
        List<String> connected = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            connected.add("s-" + number);
        }
        int looks = 0;
        int below = 0;
        for (nowMillis = 0; nowMillis < 30_000; nowMillis++) {
            ends.getOrDefault(nowMillis, new ArrayDeque<>()).forEach(Runnable::run);
            if (nowMillis % 30 == 0) {
                request(nowMillis % 450 == 0, connected);
            }
            if (nowMillis > 5_000) {
                looks++;
                below += undisturbedInUse().size() < FLOOR_SHARE * (SERVERS - DISTURBED) ? 1 : 0;
            }
        }
        assertTrue(below == 0, below + " of " + looks + " windows with too few of the undisturbed servers");
    }

    private Set<Integer> undisturbedInUse() {
        Set<Integer> used = new HashSet<>();
        grantedAtMillis.forEach((number, at) -> {
            if (number >= DISTURBED && nowMillis - at <= 2_000) {
                used.add(number);
            }
        });
        return used;
    }
}
