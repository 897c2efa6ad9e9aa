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
 * Guards against using too few undisturbed servers because disturbed ones count for the floor. Only a partitioned host
 * cannot reach some of the servers, and these still serve the other hosts.
 */
class FloorOfUndisturbedServersTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int SERVERS = 13;
    private static final int DISTURBED = 7;
    private static final double FLOOR_SHARE = 0.7;
    private static final HostId PARTITIONED_HOST = new HostId("host-cut-off", 1);
    private static final HostId CONNECTED_HOST = new HostId("host-well", 1);

    private final PriorityDispatcher dispatcher = new PriorityDispatcher(
            new PriorityDispatcherSettings(
                    new FloorSettings(FLOOR_SHARE, Duration.ofSeconds(6)), Duration.ofMillis(500)),
            new Random(5));
    private final Map<Long, Deque<Runnable>> completions = new HashMap<>();
    private final Map<Integer, Long> grantedAtMillis = new HashMap<>();
    private long nextToken = 1;
    private long nowMillis;

    private static List<UpstreamServer> servers() {
        List<UpstreamServer> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            servers.add(new UpstreamServer("s-" + number, 1, "pay", "10.0.0.1:" + (80 + number), "a", 6, false, 0));
        }
        return servers;
    }

    /** Sends a request; one in fifteen comes from the host that cannot reach the disturbed servers. */
    private void request(boolean fromPartitioned, List<String> connected) {
        HostId requestingHost = fromPartitioned ? PARTITIONED_HOST : CONNECTED_HOST;
        SchedulingParameters terms = new SchedulingParameters(1, 2_000, 1, "a", connected);
        SlotRequest request = new SlotRequest("pay", "r", "t", TrafficClass.LOOKUP, 8_000, nextToken, List.of(), terms);
        for (SlotDecision decision :
                dispatcher.request(request, requestingHost, nextToken++, nowMillis * NANOS_PER_MILLI)) {
            if (decision.answer().verdict() == SlotVerdict.GRANTED) {
                int number = Integer.parseInt(decision.answer().server().substring(2));
                boolean unreachable = fromPartitioned && number < DISTURBED;
                grantedAtMillis.put(number, nowMillis);
                AttemptOutcome outcome = unreachable ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS;
                long millis = unreachable ? 300 : 500;
                SlotRelease release = new SlotRelease("pay", decision.answer().grantId(), outcome, millis * 1_000);
                completions
                        .computeIfAbsent(nowMillis + millis, key -> new ArrayDeque<>())
                        .add(() -> dispatcher.release(release, requestingHost, nowMillis * NANOS_PER_MILLI));
            }
        }
    }

    @Test
    void enoughUndisturbedServersAreUsedInEveryTwoSeconds() {
        dispatcher.updateServers(servers(), 0);
        List<String> connected = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            connected.add("s-" + number);
        }
        int checks = 0;
        int violations = 0;
        for (nowMillis = 0; nowMillis < 30_000; nowMillis++) {
            completions.getOrDefault(nowMillis, new ArrayDeque<>()).forEach(Runnable::run);
            if (nowMillis % 30 == 0) {
                request(nowMillis % 450 == 0, connected);
            }
            if (nowMillis > 5_000) {
                checks++;
                violations += undisturbedInUse().size() < FLOOR_SHARE * (SERVERS - DISTURBED) ? 1 : 0;
            }
        }
        assertTrue(violations == 0, violations + " of " + checks + " windows had too few undisturbed servers in use");
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
