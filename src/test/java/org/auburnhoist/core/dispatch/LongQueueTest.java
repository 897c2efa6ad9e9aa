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
 * Pattern: the well servers of a large service are full, some that failed have room, and hundreds of bookings wait.
 * Guards against a dispatcher whose work for each event grows with the queue, so that it falls behind and the queue
 * grows further.
 */
class LongQueueTest {
    private static final HostId HOST = new HostId("host-1", 1);
    private static final long MILLI = 1_000_000L;
    private static final int SERVERS = 203;
    private static final int FAILING = 20;
    private static final int SLOTS = 6;
    private static final int WAITING = 300;
    private static final int ROUNDS = 500;
    /** At 235 bookings a second, on a host with three quarters of a core, this leaves half of it for all else. */
    private static final Duration ALLOWED = Duration.ofMillis(800);

    private final PriorityDispatcher dispatcher = new PriorityDispatcher(
            new PriorityDispatcherSettings(new FloorSettings(0.7, Duration.ofSeconds(6)), Duration.ofMillis(690)),
            new Random(3));
    private final Deque<Long> held = new ArrayDeque<>();
    private long nextToken;

    private void ask(long now) {
        SlotRequest request = new SlotRequest(
                "ledger",
                "r",
                "team",
                TrafficClass.BOOKING,
                12_310,
                nextToken,
                List.of(),
                new SchedulingParameters(1, 3_078, 1, "a", List.of()));
        take(dispatcher.request(request, HOST, nextToken++, now));
    }

    private void end(AttemptOutcome outcome, long now) {
        take(dispatcher.release(new SlotRelease("ledger", held.removeFirst(), outcome, 690_000), HOST, now));
    }

    private void take(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            assertEquals(SlotVerdict.GRANTED, decision.answer().verdict());
            held.addLast(decision.answer().grantId());
        }
    }

    private long play(int rounds, long begin) {
        long now = begin;
        for (int round = 0; round < rounds; round++) {
            now += MILLI;
            end(AttemptOutcome.SUCCESS, now);
            ask(now);
        }
        return now;
    }

    @Test
    void eachEventTakesLittleTimeHoweverManyRequestsWait() {
        List<UpstreamServer> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            servers.add(new UpstreamServer("i-" + number, 1, "ledger", "10.0.0.1:" + number, "a", SLOTS, false, 0));
        }
        dispatcher.updateServers(servers, 0);
        for (int failure = 0; failure < FAILING; failure++) {
            ask(failure * 10 * MILLI);
            end(AttemptOutcome.SERVER_ERROR, (failure * 10 + 5) * MILLI);
        }
        long now = 400 * MILLI;
        for (int request = 0; dispatcher.waitingCount() < WAITING; request++) {
            assertTrue(request < 2 * SERVERS * SLOTS, "the queue does not grow");
            ask(now);
        }
        // Otherwise most of the time is that of compiling.
        now = play(1_500, now);
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        play(ROUNDS, now);
        Duration spent = Duration.ofNanos(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before);
        assertTrue(dispatcher.waitingCount() >= WAITING, dispatcher.waitingCount() + " waiting");
        assertTrue(spent.compareTo(ALLOWED) < 0, spent + " for " + ROUNDS + " bookings");
    }
}
