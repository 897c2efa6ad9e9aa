package org.auburnhoist.core.membership;

/** Ages as pull answers carry them: units of 100 ms, rounded up so that no age looks smaller than it is. */
final class AgeCodec {
    static final long UNIT_NANOS = 100_000_000L;
    static final int UNKNOWN = 255;

    /** Time before all others; far enough from the limits of long that differences do not overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private AgeCodec() {}

    static int encode(long knownAsOf, long nowNanos) {
        if (knownAsOf == NEVER) {
            return UNKNOWN;
        }
        long age = Math.max(0, nowNanos - knownAsOf);
        long units = age / UNIT_NANOS + (age % UNIT_NANOS == 0 ? 0 : 1);
        return (int) Math.min(UNKNOWN, units);
    }

    /** Returns the time as of which the sender's knowledge holds, seen from the time its answer was asked for. */
    static long decode(int units, long askedAtNanos) {
        return units >= UNKNOWN || units < 0 ? NEVER : askedAtNanos - units * UNIT_NANOS;
    }
}
