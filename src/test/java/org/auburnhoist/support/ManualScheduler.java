package org.auburnhoist.support;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongConsumer;
import org.auburnhoist.host.ControlScheduler;

/** A fake scheduler that keeps its tasks, which a test runs at times of its own. */
public final class ManualScheduler implements ControlScheduler {
    private final Deque<LongConsumer> tasks = new ArrayDeque<>();
    private final List<Duration> delays = new ArrayList<>();

    @Override
    public void execute(LongConsumer task) {
        tasks.add(task);
    }

    @Override
    public void schedule(Duration delay, LongConsumer task) {
        delays.add(delay);
        tasks.add(task);
    }

    /** The delays of all tasks that were scheduled, in their order. */
    public List<Duration> delays() {
        return delays;
    }

    /** Runs the earliest task, if there is one, as of a time in nanoseconds. */
    public void runNext(long nowNanos) {
        LongConsumer task = tasks.poll();
        if (task != null) {
            task.accept(nowNanos);
        }
    }
}
