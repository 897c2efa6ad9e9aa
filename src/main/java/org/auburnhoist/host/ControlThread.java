package org.auburnhoist.host;

import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import java.util.function.ObjLongConsumer;
import org.auburnhoist.support.Event;

/**
 * The single thread on which the mutable control state of a host is read and changed.
 *
 * <p>Each task receives its start time, so that a decision made after a pause of the process takes the pause into
 * account. The number of queued tasks that traffic submits through {@link #compute} and {@link #computeAsync} is
 * limited; further ones are rejected.
 */
public final class ControlThread implements ControlScheduler, AutoCloseable {
    private static final int MAX_QUEUED = 50_000;
    private static final int MAX_TASKS_PER_RUN = 64;

    private final ScheduledThreadPoolExecutor executor;
    private final AtomicInteger queued = new AtomicInteger();
    private final Queue<Runnable> pendingTasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    /** Creates the executor; its single daemon thread gets the given name. */
    public ControlThread(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setContinueExistingPeriodicTasksAfterShutdownPolicy(false);
    }

    /** Submits a task without waiting for it. After {@link #close}, the task is dropped. */
    @Override
    public void execute(LongConsumer task) {
        try {
            submit(() -> runLogged(task));
        } catch (RejectedExecutionException closed) {
            // The process is stopping; nobody waits for this task.
        }
    }

    /** Runs a task repeatedly: first after one interval, then one interval after the end of each run. */
    public void scheduleWithFixedDelay(Duration interval, LongConsumer task) {
        executor.scheduleWithFixedDelay(
                () -> runLogged(task), interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void schedule(Duration delay, LongConsumer task) {
        try {
            executor.schedule(() -> runLogged(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException closed) {
            // The process is stopping; nobody waits for this task.
        }
    }

    /**
     * Computes a value on the control thread.
     *
     * @return completes exceptionally with {@link RejectedExecutionException} if too many tasks are queued
     */
    public <T> CompletableFuture<T> compute(LongFunction<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        if (queued.incrementAndGet() > MAX_QUEUED) {
            queued.decrementAndGet();
            result.completeExceptionally(new RejectedExecutionException("control queue is full"));
            return result;
        }
        try {
            submit(() -> {
                queued.decrementAndGet();
                completeWith(result, task);
            });
        } catch (RejectedExecutionException closed) {
            queued.decrementAndGet();
            result.completeExceptionally(closed);
        }
        return result;
    }

    /**
     * Runs a task that completes the given future, immediately or later.
     *
     * @return completes exceptionally if the task fails or too many tasks are queued
     */
    public <T> CompletableFuture<T> computeAsync(ObjLongConsumer<CompletableFuture<T>> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        CompletableFuture<Boolean> accepted = compute(now -> {
            task.accept(result, now);
            return true;
        });
        accepted.whenComplete((done, failure) -> {
            if (failure != null) {
                result.completeExceptionally(failure);
            }
        });
        return result;
    }

    /**
     * Adds a task to the batch that one run of the executor processes, because the executor's own queue costs several
     * times more per task.
     */
    private void submit(Runnable task) {
        if (executor.isShutdown()) {
            throw new RejectedExecutionException("the control thread is closed");
        }
        pendingTasks.add(task);
        if (drainScheduled.compareAndSet(false, true)) {
            executor.execute(this::drain);
        }
    }

    private void drain() {
        try {
            // A closed executor accepts no further run, so the last run processes all remaining tasks.
            for (int count = 0; count < MAX_TASKS_PER_RUN || executor.isShutdown(); count++) {
                Runnable task = pendingTasks.poll();
                if (task == null) {
                    return;
                }
                task.run();
            }
        } finally {
            drainScheduled.set(false);
            if (!pendingTasks.isEmpty() && drainScheduled.compareAndSet(false, true)) {
                rescheduleDrain();
            }
        }
    }

    /** Queues the next run behind the executor's other tasks, so that periodic tasks are not starved. */
    private void rescheduleDrain() {
        try {
            executor.execute(this::drain);
        } catch (RejectedExecutionException closed) {
            // The process is stopping; the tasks are dropped like those in the executor's queue.
        }
    }

    int queuedTasks() {
        return queued.get();
    }

    @Override
    public void close() {
        executor.shutdown();
    }

    private static <T> void completeWith(CompletableFuture<T> result, LongFunction<T> task) {
        try {
            result.complete(task.apply(System.nanoTime()));
        } catch (RuntimeException | Error cause) {
            Event.named("control-task-failed").with("cause", cause).warn();
            result.completeExceptionally(cause);
        }
    }

    private static void runLogged(LongConsumer task) {
        try {
            task.accept(System.nanoTime());
        } catch (RuntimeException | Error cause) {
            // An error that propagated would cancel the periodic task while the process keeps running.
            Event.named("control-task-failed").with("cause", cause).warn();
        }
    }
}
