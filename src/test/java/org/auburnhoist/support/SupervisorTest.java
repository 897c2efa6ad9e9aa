package org.auburnhoist.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against hosts that say that they are ready although a part has stopped, and against needless ends. */
class SupervisorTest {
    private final List<String> ended = new ArrayList<>();
    private final Supervisor supervisor = new Supervisor(ended::add, 0);
    private final WatchedPart working = supervisor.watch("timer");
    private final WatchedPart watched = supervisor.watch("caller-io");
    private long now;

    // A host with a thread that has ended would be named to callers until the platform looks closer.
    @Test
    void anEndedPartMakesTheProcessUnhealthyAtOnceAndEndsItSoon() {
        assertTrue(supervisor.isHealthy());
        watched.ended();
        assertFalse(supervisor.isHealthy());
        pass(Supervisor.ENDED_LIMIT.minusSeconds(1), false);
        assertEquals(List.of(), ended);
        pass(Duration.ofSeconds(1), true);
        assertEquals(List.of("caller-io"), ended);
    }

    // A thread that is caught in a loop or waits for ever would leave the host ready and deaf.
    @Test
    void aPartWithoutProgressMakesTheProcessUnhealthyAndThenEndsIt() {
        pass(Supervisor.UNHEALTHY_AFTER.minusSeconds(1), false);
        assertTrue(supervisor.isHealthy());
        pass(Duration.ofSeconds(1), false);
        assertFalse(supervisor.isHealthy());
        pass(Supervisor.STUCK_LIMIT.minus(Supervisor.UNHEALTHY_AFTER).minusSeconds(1), false);
        assertEquals(List.of(), ended);
        pass(Duration.ofSeconds(1), false);
        assertEquals(List.of("caller-io"), ended);
    }

    // A part that goes on after a pause would keep the host out of service, or end it.
    @Test
    void aPartThatGoesOnIsHealthyAgain() {
        pass(Supervisor.STUCK_LIMIT.minusSeconds(1), false);
        assertFalse(supervisor.isHealthy());
        pass(Duration.ofSeconds(1), true);
        assertTrue(supervisor.isHealthy());
        pass(Supervisor.UNHEALTHY_AFTER.minusSeconds(1), false);
        assertTrue(supervisor.isHealthy());
        assertEquals(List.of(), ended);
    }

    // A process that was frozen, or got no processor time, would end itself when it goes on.
    @Test
    void timeInWhichTheSupervisorDidNotRunDoesNotCount() {
        for (int freeze = 0; freeze < 2; freeze++) {
            now += Duration.ofMinutes(10).toNanos();
            supervisor.check(now);
            assertTrue(supervisor.isHealthy());
        }
        assertEquals(List.of(), ended);
    }

    // The planned end of the parts would be taken for a fault.
    @Test
    void aClosedSupervisorEndsNothing() {
        supervisor.close();
        watched.ended();
        pass(Supervisor.STUCK_LIMIT, false);
        assertEquals(List.of(), ended);
    }

    private void pass(Duration time, boolean progress) {
        for (long second = 0; second < time.toSeconds(); second++) {
            now += Supervisor.CHECK_INTERVAL.toNanos();
            working.progressed();
            if (progress) {
                watched.progressed();
            }
            supervisor.check(now);
        }
    }
}
