package org.auburnhoist.host;

import java.time.Duration;
import java.util.function.LongConsumer;

/** Schedules tasks on the control thread. */
public interface ControlScheduler {
    /** Runs a task as soon as possible; the task receives its start time as given by {@link System#nanoTime}. */
    void execute(LongConsumer task);

    /** Runs a task once after a delay; the task receives its start time as given by {@link System#nanoTime}. */
    void schedule(Duration delay, LongConsumer task);
}
