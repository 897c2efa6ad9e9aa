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
 * The only thread that touches control state.
 *
 * <p>Tasks receive the time at which they start, so that a decision made after a pause sees the pause. Tasks that
 * traffic submits are bounded in number; further ones are rejected.
 */
public final class ControlThread implements ControlScheduler, AutoCloseable {
    private static final int MAX_QUEUED = 50_000;
    private static final int MAX_TASKS_PER_RUN = 64;

    private final ScheduledThreadPoolExecutor executor;
    private final AtomicInteger queued = new AtomicInteger();
    private final Queue<Runnable> pendingTasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    /** Starts the thread. */
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

    /** Runs a task soon. */
    public void execute(LongConsumer task) {
        try {
            submit(() -> runLogged(task));
        } catch (RejectedExecutionException closed) {
            // The process is stopping; nobody waits for this task.
        }
    }

    /** Runs a task at a fixed interval, starting after one interval. */
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
     * Computes a value on this thread.
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
     * Runs a task that completes an answer, at once or later.
     *
     * @return completes exceptionally if the task fails or too many tasks are queued
     */
    public <T> CompletableFuture<T> computeAsync(ObjLongConsumer<CompletableFuture<T>> task) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        CompletableFuture<Boolean> accepted = compute(now -> {
            task.accept(answer, now);
            return true;
        });
        accepted.whenComplete((done, failure) -> {
            if (failure != null) {
                answer.completeExceptionally(failure);
            }
        });
        return answer;
    }

    /** Adds to the tasks that one run of the executor takes, because its own queue costs several times more. */
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
            // After the close the executor takes no further run, so the last one takes all tasks.
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

    /** Goes to the end of the executor's queue, so that periodic tasks have their turn. */
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
            // An error that went on would end the periodic task while the process goes on.
            Event.named("control-task-failed").with("cause", cause).warn();
        }
    }
}
