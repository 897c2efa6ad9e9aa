package org.auburnhoist.emulator;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** What the health and load endpoints say: the state some time ago, or a false one. Not thread-safe. */
final class LoadReport {
    private final Deque<Sample> samples = new ArrayDeque<>();
    private Duration lag = Duration.ZERO;
    private @Nullable Boolean claimedHealth;
    private @Nullable Integer claimedLoad;

    void lag(Duration newLag) {
        lag = newLag;
    }

    void claimHealth(@Nullable Boolean healthy) {
        claimedHealth = healthy;
    }

    void claimLoad(@Nullable Integer running) {
        claimedLoad = running;
    }

    /** Records the true state. */
    void record(long nowNanos, int running, int queued, boolean accepting) {
        samples.addLast(new Sample(nowNanos, running, queued, accepting));
        long horizon = nowNanos - lag.toNanos();
        while (samples.size() > 1 && isSecondOldEnough(horizon)) {
            samples.removeFirst();
        }
    }

    /** The state that the endpoints tell at a time. */
    Sample told(long nowNanos) {
        Sample told = new Sample(nowNanos, 0, 0, true);
        for (Sample sample : samples) {
            if (nowNanos - sample.nanos() >= lag.toNanos()) {
                told = sample;
            }
        }
        Integer load = claimedLoad;
        Boolean health = claimedHealth;
        return new Sample(
                told.nanos(),
                load == null ? told.running() : load,
                load == null ? told.queued() : 0,
                health == null ? told.accepting() : health);
    }

    private boolean isSecondOldEnough(long horizon) {
        var iterator = samples.iterator();
        iterator.next();
        return iterator.next().nanos() - horizon <= 0;
    }

    record Sample(long nanos, int running, int queued, boolean accepting) {}
}
