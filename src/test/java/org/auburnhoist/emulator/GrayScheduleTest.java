package org.auburnhoist.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.Random;
import org.auburnhoist.emulator.GraySchedule.Ending;
import org.junit.jupiter.api.Test;

/**
 * Guards against injected faults that start at the wrong time or affect the wrong share of the requests, which would
 * falsify the measured detection times of failures.
 */
class GrayScheduleTest {
    @Test
    void scheduledModesBeginAtTheirTimes() {
        GraySchedule schedule = new GraySchedule(new Random(1));
        schedule.schedule(100, new GrayMode.FailShare(1));
        schedule.schedule(200, new GrayMode.Healthy());
        assertEquals(Ending.ANSWERED, schedule.decide(99).ending());
        assertEquals(Ending.FAILED, schedule.decide(100).ending());
        assertEquals(Ending.FAILED, schedule.decide(199).ending());
        assertEquals(Ending.ANSWERED, schedule.decide(200).ending());
    }

    @Test
    void flappingFollowsItsPeriod() {
        GraySchedule schedule = new GraySchedule(new Random(1));
        schedule.set(new GrayMode.Flapping(Duration.ofNanos(10), new GrayMode.NeverAnswer(1)));
        assertInstanceOf(GrayMode.NeverAnswer.class, schedule.modeAt(-10));
        assertInstanceOf(GrayMode.NeverAnswer.class, schedule.modeAt(4));
        assertInstanceOf(GrayMode.Healthy.class, schedule.modeAt(5));
    }

    @Test
    void failureShareIsKeptAndRepeatableWithTheSameSeed() {
        int failures = failures(3);
        assertEquals(failures, failures(3));
        assertEquals(3000, failures, 200);
    }

    @Test
    void queueKeepsOrderAndMarksExpiredWork() {
        SlotQueue<String> queue = new SlotQueue<>(1, 2);
        assertEquals(SlotQueue.Placement.STARTED, queue.offer("a", 100));
        assertEquals(SlotQueue.Placement.QUEUED, queue.offer("b", 10));
        assertEquals(SlotQueue.Placement.QUEUED, queue.offer("c", 100));
        assertEquals(SlotQueue.Placement.SHED, queue.offer("d", 100));
        assertEquals(null, queue.next(20));
        queue.remove("a");
        assertEquals(new SlotQueue.Dequeued<>("b", true), queue.next(20));
        assertEquals(new SlotQueue.Dequeued<>("c", false), queue.next(20));
    }

    @Test
    void laggingReportShowsTheEarlierState() {
        LoadReport report = new LoadReport();
        report.setLag(Duration.ofNanos(50));
        report.record(0, 1, 0, true);
        report.record(40, 6, 2, false);
        assertEquals(1, report.reportedAt(89).running());
        assertEquals(new LoadReport.Sample(40, 6, 2, false), report.reportedAt(90));
    }

    private static int failures(long seed) {
        GraySchedule schedule = new GraySchedule(new Random(seed));
        schedule.set(new GrayMode.FailShare(0.3));
        int failures = 0;
        for (int index = 0; index < 10_000; index++) {
            failures += schedule.decide(index).ending() == Ending.FAILED ? 1 : 0;
        }
        return failures;
    }
}
