package org.auburnhoist.cli;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.auburnhoist.support.LogFormatter;
import org.jspecify.annotations.Nullable;

/** Waits for SIGTERM or Ctrl-C, which may come before the task has started. */
final class StopSignal {
    /** The action that stops the running components; null if the task could not be started. */
    private final CompletableFuture<@Nullable Runnable> close = new CompletableFuture<>();

    private StopSignal() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop-signal"));
    }

    /**
     * Runs the given action at the signal, and then ends the process with status 0; the default after SIGTERM is 143.
     * If the signal came before, the action runs at once.
     *
     * @param action stops the running components
     */
    void handle(Runnable action) {
        close.complete(action);
    }

    /** As {@link #handle}, and waits for the signal. */
    void await(Runnable action) throws InterruptedException {
        handle(action);
        new CountDownLatch(1).await();
    }

    /** Runs when the process ends, by a signal or because the task could not be started. */
    private void stop() {
        Runnable action = close.join();
        if (action != null) {
            action.run();
            LogFormatter.flush();
            Runtime.getRuntime().halt(ExitCode.DONE.status());
        }
    }

    /** A task that runs until the stop signal. */
    interface LongRunningTask {
        /**
         * Starts, waits for the signal and ends.
         *
         * @param signal the signal to wait for
         * @throws IOException if it cannot be started
         */
        ExitCode run(StopSignal signal) throws IOException, InterruptedException;
    }

    /** Runs a task until the signal. If the task cannot be started, prints the reason. */
    static ExitCode runTask(CommandContext context, LongRunningTask task) {
        // Set first: a signal during the start then stops the task when it has started, and cuts no request.
        StopSignal signal = new StopSignal();
        try {
            return task.run(signal);
        } catch (IOException cause) {
            context.err().println("could not start: " + cause.getMessage());
            return ExitCode.REFUSED;
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            return ExitCode.DONE;
        } finally {
            signal.close.complete(null);
        }
    }
}
