package org.auburnhoist.support;

import java.util.EnumMap;
import java.util.Map;
import java.util.logging.Level;

/**
 * Limits how many bytes a second the log takes, and counts the lines that are left out.
 *
 * <p>Lines of routine work are left out first and lines of failures last, so that a flood of the former does not hide
 * the latter. Thread-safe.
 */
final class LogBudget {
    /** What a line tells; later kinds are kept longer. */
    enum Kind {
        ROUTINE(0.5),
        DECISION(0.2),
        FAILURE(0);

        /** Part of the allowance that is left to later kinds. */
        private final double reserved;

        Kind(double reserved) {
            this.reserved = reserved;
        }

        static Kind of(Level level) {
            if (level.intValue() >= Level.WARNING.intValue()) {
                return FAILURE;
            }
            return level.intValue() >= Level.INFO.intValue() ? DECISION : ROUTINE;
        }
    }

    /** Lines of a start or of a change that concerns everything come together. */
    private static final double BURST_SECONDS = 4;

    private final double bytesPerSecond;
    private final double capacity;
    private final Map<Kind, Long> leftOut = new EnumMap<>(Kind.class);
    private double allowance;
    private long updatedNanos;

    LogBudget(double bytesPerSecond, long nowNanos) {
        this.bytesPerSecond = bytesPerSecond;
        this.capacity = bytesPerSecond * BURST_SECONDS;
        this.allowance = capacity;
        this.updatedNanos = nowNanos;
    }

    /** Whether a line may be written; if not, it is counted. */
    synchronized boolean tryTake(Kind kind, int bytes, long nowNanos) {
        allowance = Math.min(capacity, allowance + Math.max(0, nowNanos - updatedNanos) / 1e9 * bytesPerSecond);
        updatedNanos = nowNanos;
        if (allowance - bytes < kind.reserved * capacity) {
            leftOut(kind);
            return false;
        }
        allowance -= bytes;
        return true;
    }

    /** Counts a line that is left out for another reason. */
    synchronized void leftOut(Kind kind) {
        leftOut.merge(kind, 1L, Long::sum);
    }

    /** Lines left out since the last call, by kind; empty if there were none. */
    synchronized Map<Kind, Long> takeLeftOut() {
        Map<Kind, Long> taken = new EnumMap<>(Kind.class);
        taken.putAll(leftOut);
        leftOut.clear();
        return taken;
    }
}
