package org.auburnhoist.emulator;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** The state that the health and load endpoints report: the actual state a lag ago, or a false one. Not thread-safe. */
final class LoadReport {
    private final Deque<Sample> samples = new ArrayDeque<>();
    private Duration lag = Duration.ZERO;
    private @Nullable Boolean healthOverride;
    private @Nullable Integer loadOverride;

    void setLag(Duration newLag) {
        lag = newLag;
    }

    void overrideHealth(@Nullable Boolean healthy) {
        healthOverride = healthy;
    }

    void overrideLoad(@Nullable Integer running) {
        loadOverride = running;
    }

    /** Records the actual state. */
    void record(long nowNanos, int running, int queued, boolean accepting) {
        samples.addLast(new Sample(nowNanos, running, queued, accepting));
        long cutoffNanos = nowNanos - lag.toNanos();
        while (samples.size() > 1 && isSecondSampleOldEnough(cutoffNanos)) {
            samples.removeFirst();
        }
    }

    /** The state that the endpoints report at a time. */
    Sample reportedAt(long nowNanos) {
        Sample reported = new Sample(nowNanos, 0, 0, true);
        for (Sample sample : samples) {
            if (nowNanos - sample.nanos() >= lag.toNanos()) {
                reported = sample;
            }
        }
        Integer load = loadOverride;
        Boolean health = healthOverride;
        return new Sample(
                reported.nanos(),
                load == null ? reported.running() : load,
                load == null ? reported.queued() : 0,
                health == null ? reported.accepting() : health);
    }

    private boolean isSecondSampleOldEnough(long cutoffNanos) {
        var iterator = samples.iterator();
        iterator.next();
        return iterator.next().nanos() - cutoffNanos <= 0;
    }

    record Sample(long nanos, int running, int queued, boolean accepting) {}
}
