package org.auburnhoist.emulator;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** Decides which fault each request gets: the mode depends on the time, the affected requests on a random generator. */
final class GraySchedule {
    private static final GrayMode HEALTHY = new GrayMode.Healthy();

    private final RandomGenerator random;
    private final TreeMap<Long, GrayMode> modes = new TreeMap<>();

    GraySchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Schedules a mode to begin at a time; it lasts until the next scheduled mode begins. */
    synchronized void schedule(long beginNanos, GrayMode mode) {
        modes.put(beginNanos, mode);
    }

    /** Switches to a mode at once and discards the schedule. */
    synchronized void set(GrayMode mode) {
        modes.clear();
        modes.put(Long.MIN_VALUE, mode);
    }

    /** The mode in effect at a time; {@link GrayMode.Flapping} is resolved to its inner mode or to the healthy one. */
    synchronized GrayMode modeAt(long nowNanos) {
        Map.Entry<Long, GrayMode> entry = modes.floorEntry(nowNanos);
        if (entry == null) {
            return HEALTHY;
        }
        GrayMode mode = entry.getValue();
        while (mode instanceof GrayMode.Flapping flapping) {
            long period = flapping.period().toNanos();
            mode = Math.floorMod(nowNanos, period) < period / 2 ? flapping.inner() : HEALTHY;
        }
        return mode;
    }

    /** Decides which fault a request gets that starts now. */
    synchronized FaultDecision decide(long nowNanos) {
        GrayMode mode = modeAt(nowNanos);
        if (mode instanceof GrayMode.FailShare fail && isSelected(fail.share())) {
            return new FaultDecision(Ending.FAILED, Duration.ZERO, Duration.ZERO);
        }
        if (mode instanceof GrayMode.SlowTail slow && isSelected(slow.share())) {
            return new FaultDecision(Ending.ANSWERED, slow.extra(), Duration.ZERO);
        }
        if (mode instanceof GrayMode.LateAnswer late && isSelected(late.share())) {
            return new FaultDecision(Ending.ANSWERED, Duration.ZERO, late.delay());
        }
        if (mode instanceof GrayMode.TruncateBody truncate && isSelected(truncate.share())) {
            return new FaultDecision(Ending.TRUNCATED, Duration.ZERO, Duration.ZERO);
        }
        if (mode instanceof GrayMode.NeverAnswer never && isSelected(never.share())) {
            return new FaultDecision(Ending.UNANSWERED, Duration.ZERO, Duration.ZERO);
        }
        return new FaultDecision(Ending.ANSWERED, Duration.ZERO, Duration.ZERO);
    }

    private boolean isSelected(double share) {
        return random.nextDouble() < share;
    }

    /** How the processing of a request ends. */
    enum Ending {
        ANSWERED,
        FAILED,
        TRUNCATED,
        UNANSWERED
    }

    /**
     * The fault that applies to one request.
     *
     * @param ending how its processing ends
     * @param extraServiceTime time that it occupies its slot in addition to its service time
     * @param responseDelay time between the release of the slot and the response
     */
    record FaultDecision(Ending ending, Duration extraServiceTime, Duration responseDelay) {}
}
