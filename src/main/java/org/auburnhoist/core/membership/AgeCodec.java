package org.auburnhoist.core.membership;

/** Encodes ages for pull answers in units of 100 ms, rounded up so that an age is never understated. */
final class AgeCodec {
    static final long UNIT_NANOS = 100_000_000L;
    static final int UNKNOWN = 255;

    /** Earlier than any real time, and far enough from the limits of long that differences do not overflow. */
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

    /** Converts an age to a time on this host's clock, counted back from when the answer was requested. */
    static long decode(int units, long requestedAtNanos) {
        return units >= UNKNOWN || units < 0 ? NEVER : requestedAtNanos - units * UNIT_NANOS;
    }
}
