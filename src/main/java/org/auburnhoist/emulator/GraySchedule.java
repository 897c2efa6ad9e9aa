package org.auburnhoist.emulator;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** Decides what happens to each piece of work: modes by time, draws by seed. */
final class GraySchedule {
    private static final GrayMode HEALTHY = new GrayMode.Healthy();

    private final RandomGenerator random;
    private final TreeMap<Long, GrayMode> modes = new TreeMap<>();

    GraySchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Makes a mode begin at a time; it lasts until the next mode begins. */
    synchronized void at(long beginNanos, GrayMode mode) {
        modes.put(beginNanos, mode);
    }

    /** Replaces the present mode and the schedule. */
    synchronized void set(GrayMode mode) {
        modes.clear();
        modes.put(Long.MIN_VALUE, mode);
    }

    /** The mode in force, with flapping resolved. */
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

    /** Decides about one piece of work that starts now. */
    synchronized Treatment decide(long nowNanos) {
        GrayMode mode = modeAt(nowNanos);
        if (mode instanceof GrayMode.FailShare fail && drawn(fail.share())) {
            return new Treatment(Ending.FAILED, Duration.ZERO, Duration.ZERO);
        }
        if (mode instanceof GrayMode.SlowTail slow && drawn(slow.share())) {
            return new Treatment(Ending.ANSWERED, slow.extra(), Duration.ZERO);
        }
        if (mode instanceof GrayMode.LateAnswer late && drawn(late.share())) {
            return new Treatment(Ending.ANSWERED, Duration.ZERO, late.delay());
        }
        if (mode instanceof GrayMode.TruncateBody truncate && drawn(truncate.share())) {
            return new Treatment(Ending.TRUNCATED, Duration.ZERO, Duration.ZERO);
        }
        if (mode instanceof GrayMode.NeverAnswer never && drawn(never.share())) {
            return new Treatment(Ending.NEVER, Duration.ZERO, Duration.ZERO);
        }
        return new Treatment(Ending.ANSWERED, Duration.ZERO, Duration.ZERO);
    }

    private boolean drawn(double share) {
        return random.nextDouble() < share;
    }

    /** How work ends. */
    enum Ending {
        ANSWERED,
        FAILED,
        TRUNCATED,
        NEVER
    }

    /**
     * What happens to one piece of work.
     *
     * @param ending how it ends
     * @param extraWork longer time in the slot
     * @param answerDelay time between the end of the work and the answer
     */
    record Treatment(Ending ending, Duration extraWork, Duration answerDelay) {}
}
