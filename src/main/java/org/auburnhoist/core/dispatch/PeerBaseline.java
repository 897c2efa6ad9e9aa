package org.auburnhoist.core.dispatch;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;

/** Typical failure share, slow share and latency of a service's servers in one class, recomputed every 100 ms. */
final class PeerBaseline {
    /** A response is slow if its latency exceeds this multiple of the median of the peers. */
    private static final long SLOW_RATIO = 3;

    private static final long REFRESH_INTERVAL_NANOS = 100_000_000L;

    private boolean computed;
    private long computedNanos;
    private int peerCount;
    private double failureShare;
    private double slowShare;
    private long medianLatencyMicros;

    void refresh(Supplier<? extends Collection<OutcomeWindow>> windows, long nowNanos) {
        if (!computed || nowNanos - computedNanos >= REFRESH_INTERVAL_NANOS || nowNanos - computedNanos < 0) {
            recompute(windows.get(), nowNanos);
        }
    }

    void recompute(Collection<OutcomeWindow> windows, long nowNanos) {
        computed = true;
        computedNanos = nowNanos;
        List<OutcomeWindow> usable =
                windows.stream().filter(OutcomeWindow::hasEnoughOutcomes).toList();
        peerCount = usable.size();
        medianLatencyMicros = (long) quantile(
                usable.stream().mapToDouble(OutcomeWindow::medianLatencyMicros).toArray(), 0.5);
        // The lower quartile remains close to the share of a healthy server when many servers fail at once.
        failureShare = quantile(
                usable.stream()
                        .mapToDouble(window ->
                                window.count(OutcomeWindow.Outcome::failed).share())
                        .toArray(),
                0.25);
        slowShare = quantile(
                usable.stream()
                        .mapToDouble(window -> window.count(this::isSlow).share())
                        .toArray(),
                0.5);
    }

    boolean isSlow(OutcomeWindow.Outcome outcome) {
        return !outcome.failed() && hasLatencyBaseline() && outcome.latencyMicros() > SLOW_RATIO * medianLatencyMicros;
    }

    boolean hasLatencyBaseline() {
        return peerCount >= 2 && medianLatencyMicros > 0;
    }

    double failureShare() {
        return failureShare;
    }

    double slowShare() {
        return slowShare;
    }

    /** The value at a quantile, rounded down to the lower one, so that the better of two servers is the baseline. */
    private static double quantile(double[] values, double quantile) {
        Arrays.sort(values);
        return values.length == 0 ? 0 : values[(int) ((values.length - 1) * quantile)];
    }
}
