package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
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
 * Guards against a dispatcher whose processor time per event grows with the queue, so that it falls behind and the
 * queue grows further. The healthy servers of a large service are full, some failed servers have free slots, and
 * hundreds of bookings wait.
 */
class LongQueueTest {
    private static final HostId HOST = new HostId("host-1", 1);
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int SERVERS = 203;
    private static final int FAILED_SERVERS = 20;
    private static final int SLOTS = 6;
    private static final int WAITING_REQUESTS = 300;
    private static final int ROUNDS = 500;
    /** At 235 bookings per second on 0.75 of a core, this leaves half of that core share for all other work. */
    private static final Duration MAX_CPU_TIME = Duration.ofMillis(800);

    private final PriorityDispatcher dispatcher = new PriorityDispatcher(
            new PriorityDispatcherSettings(new FloorSettings(0.7, Duration.ofSeconds(6)), Duration.ofMillis(690)),
            new Random(3));
    private final Deque<Long> heldGrants = new ArrayDeque<>();
    private long nextToken;

    private void request(long now) {
        SlotRequest request = new SlotRequest(
                "ledger",
                "r",
                "team",
                TrafficClass.BOOKING,
                12_310,
                nextToken,
                List.of(),
                new SchedulingParameters(1, 3_078, 1, "a", List.of()));
        collect(dispatcher.request(request, HOST, nextToken++, now));
    }

    private void release(AttemptOutcome outcome, long now) {
        collect(dispatcher.release(new SlotRelease("ledger", heldGrants.removeFirst(), outcome, 690_000), HOST, now));
    }

    private void collect(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            assertEquals(SlotVerdict.GRANTED, decision.answer().verdict());
            heldGrants.addLast(decision.answer().grantId());
        }
    }

    private long runRounds(int rounds, long startNanos) {
        long now = startNanos;
        for (int round = 0; round < rounds; round++) {
            now += NANOS_PER_MILLI;
            release(AttemptOutcome.SUCCESS, now);
            request(now);
        }
        return now;
    }

    @Test
    void timePerEventDoesNotGrowWithQueueLength() {
        List<UpstreamServer> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            servers.add(new UpstreamServer("i-" + number, 1, "ledger", "10.0.0.1:" + number, "a", SLOTS, false, 0));
        }
        dispatcher.updateServers(servers, 0);
        for (int failure = 0; failure < FAILED_SERVERS; failure++) {
            request(failure * 10 * NANOS_PER_MILLI);
            release(AttemptOutcome.SERVER_ERROR, (failure * 10 + 5) * NANOS_PER_MILLI);
        }
        long now = 400 * NANOS_PER_MILLI;
        for (int request = 0; dispatcher.waitingCount() < WAITING_REQUESTS; request++) {
            assertTrue(request < 2 * SERVERS * SLOTS, "the queue does not grow");
            request(now);
        }
        // Warms up the code; otherwise the measurement would consist mostly of JIT compilation time.
        now = runRounds(1_500, now);
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        runRounds(ROUNDS, now);
        Duration spent = Duration.ofNanos(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before);
        assertTrue(dispatcher.waitingCount() >= WAITING_REQUESTS, dispatcher.waitingCount() + " waiting");
        assertTrue(spent.compareTo(MAX_CPU_TIME) < 0, spent + " for " + ROUNDS + " bookings");
    }
}
