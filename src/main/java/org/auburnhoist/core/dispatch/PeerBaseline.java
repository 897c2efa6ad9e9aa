package org.auburnhoist.core.dispatch;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;

/** What is usual among the servers of a service in one class; recomputed a few times a second. */
final class PeerBaseline {
    /** An answer is slow if it takes this many times the median of the peers. */
    private static final long SLOW_RATIO = 3;

    private static final long REFRESH_NANOS = 100_000_000L;

    private boolean computed;
    private long computedNanos;
    private int peers;
    private double failureShare;
    private double slowShare;
    private long medianLatencyMicros;

    void refresh(Supplier<? extends Collection<Evidence>> evidence, long nowNanos) {
        if (!computed || nowNanos - computedNanos >= REFRESH_NANOS || nowNanos - computedNanos < 0) {
            recompute(evidence.get(), nowNanos);
        }
    }

    void recompute(Collection<Evidence> evidence, long nowNanos) {
        computed = true;
        computedNanos = nowNanos;
        List<Evidence> known = evidence.stream().filter(Evidence::isEnough).toList();
        peers = known.size();
        medianLatencyMicros = (long) quantile(
                known.stream().mapToDouble(Evidence::medianLatencyMicros).toArray(), 0.5);
        // The lower quartile still shows the healthy share when many servers fail at once.
        failureShare = quantile(
                known.stream()
                        .mapToDouble(one -> one.count(Evidence.Outcome::failed).share())
                        .toArray(),
                0.25);
        slowShare = quantile(
                known.stream()
                        .mapToDouble(one -> one.count(this::isSlow).share())
                        .toArray(),
                0.5);
    }

    boolean isSlow(Evidence.Outcome outcome) {
        return !outcome.failed() && canJudgeLatency() && outcome.latencyMicros() > SLOW_RATIO * medianLatencyMicros;
    }

    boolean canJudgeLatency() {
        return peers >= 2 && medianLatencyMicros > 0;
    }

    double failureShare() {
        return failureShare;
    }

    double slowShare() {
        return slowShare;
    }

    /** The lower value at a quantile; the lower one, so that of two servers the better one is the measure. */
    private static double quantile(double[] values, double quantile) {
        Arrays.sort(values);
        return values.length == 0 ? 0 : values[(int) ((values.length - 1) * quantile)];
    }
}
