package org.auburnhoist.support;

import java.util.EnumMap;
import java.util.Map;
import java.util.logging.Level;

/**
 * Limits the bytes per second that are written to the log by a token bucket, and counts the lines that are left out.
 *
 * <p>Under load, routine lines are left out first and failures last, so that a flood of the former does not hide the
 * latter. Thread-safe.
 */
final class LogBudget {
    /** Importance of a line, in ascending order; less important lines are left out first. */
    enum Kind {
        ROUTINE(0.5),
        DECISION(0.2),
        FAILURE(0);

        /** Share of the burst size that is reserved for more important kinds. */
        private final double reservedShare;

        Kind(double reserved) {
            this.reservedShare = reserved;
        }

        static Kind of(Level level) {
            if (level.intValue() >= Level.WARNING.intValue()) {
                return FAILURE;
            }
            return level.intValue() >= Level.INFO.intValue() ? DECISION : ROUTINE;
        }
    }

    /** Burst size in seconds at the full rate, since a startup or a fleet-wide change logs many lines at once. */
    private static final double BURST_SECONDS = 4;

    private final double bytesPerSecond;
    private final double burstBytes;
    private final Map<Kind, Long> leftOutCounts = new EnumMap<>(Kind.class);
    private double availableBytes;
    private long updatedNanos;

    LogBudget(double bytesPerSecond, long nowNanos) {
        this.bytesPerSecond = bytesPerSecond;
        this.burstBytes = bytesPerSecond * BURST_SECONDS;
        this.availableBytes = burstBytes;
        this.updatedNanos = nowNanos;
    }

    /** Returns whether a line may be written; if not, counts it as left out. */
    synchronized boolean tryAcquire(Kind kind, int bytes, long nowNanos) {
        availableBytes =
                Math.min(burstBytes, availableBytes + Math.max(0, nowNanos - updatedNanos) / 1e9 * bytesPerSecond);
        updatedNanos = nowNanos;
        if (availableBytes - bytes < kind.reservedShare * burstBytes) {
            countLeftOut(kind);
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /** Counts a line that is left out for a reason other than the rate limit. */
    synchronized void countLeftOut(Kind kind) {
        leftOutCounts.merge(kind, 1L, Long::sum);
    }

    /** Returns and resets the number of lines left out since the last call, by kind; empty if there were none. */
    synchronized Map<Kind, Long> drainLeftOutCounts() {
        Map<Kind, Long> counts = new EnumMap<>(Kind.class);
        counts.putAll(leftOutCounts);
        leftOutCounts.clear();
        return counts;
    }
}
