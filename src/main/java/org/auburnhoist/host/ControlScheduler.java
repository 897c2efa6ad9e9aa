package org.auburnhoist.host;

import java.time.Duration;
import java.util.function.LongConsumer;

/** Runs tasks later on the thread of control state. */
public interface ControlScheduler {
    /** Runs a task once after a delay; the task gets the time at which it starts. */
    void schedule(Duration delay, LongConsumer task);
}
