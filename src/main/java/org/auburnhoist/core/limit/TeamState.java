package org.auburnhoist.core.limit;

import java.util.Arrays;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.configuration.Team;
import org.jspecify.annotations.Nullable;

/** State that a host keeps about one team for which it requests tokens. */
final class TeamState {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long IDLE_NANOS = 60 * NANOS_PER_SECOND;

    final Reserve reserve;
    final long[] refusedUntil = new long[TeamBuckets.COUNT];
    int reserveBucket;

    @Nullable
    HostId reserveOwner;

    private long secondStartNanos;
    private int thisSecond;
    private int lastSecond;

    TeamState(long nowNanos) {
        reserve = new Reserve(nowNanos);
        secondStartNanos = nowNanos;
        forgetRefusals();
    }

    void forgetRefusals() {
        Arrays.fill(refusedUntil, Long.MIN_VALUE);
    }

    void countRequest(long nowNanos) {
        advanceSecond(nowNanos);
        thisSecond++;
    }

    /** Returns the number of requests in the last full second. */
    int recentRequests(long nowNanos) {
        advanceSecond(nowNanos);
        return lastSecond;
    }

    boolean isIdle(long nowNanos) {
        return nowNanos - secondStartNanos > IDLE_NANOS;
    }

    TokenDecision.Refuse refusal(Team team, long nowNanos) {
        long earliest = Long.MAX_VALUE;
        for (int bucket = 0; bucket < TeamBuckets.COUNT; bucket++) {
            if (TeamBuckets.limits(team, bucket).capacity() > 0) {
                earliest = Math.min(earliest, Math.max(nowNanos, refusedUntil[bucket]));
            }
        }
        if (earliest == Long.MAX_VALUE) {
            return new TokenDecision.Refuse(LimitSettings.MAX_RETRY_MILLIS);
        }
        long millis = (earliest - nowNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
        return new TokenDecision.Refuse(Math.max(1, millis));
    }

    private void advanceSecond(long nowNanos) {
        long elapsed = nowNanos - secondStartNanos;
        if (elapsed >= NANOS_PER_SECOND) {
            lastSecond = elapsed >= 2 * NANOS_PER_SECOND ? 0 : thisSecond;
            thisSecond = 0;
            secondStartNanos = nowNanos;
        }
    }
}
