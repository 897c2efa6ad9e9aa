package org.auburnhoist.cli;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.auburnhoist.support.LogFormatter;

/** Waits for SIGTERM or Ctrl-C. */
final class StopSignal {
    private StopSignal() {}

    /**
     * Waits for the signal, then runs the given action and ends the process with status 0; the default after SIGTERM is
     * 143.
     *
     * @param close stops the running components
     */
    static void await(Runnable close) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            close.run();
                            stopped.countDown();
                            LogFormatter.flush();
                            Runtime.getRuntime().halt(ExitCode.DONE.status());
                        },
                        "stop-signal"));
        stopped.await();
    }

    /** A task that runs until the stop signal. */
    interface LongRunningTask {
        /**
         * Starts, waits for the signal and ends.
         *
         * @throws IOException if it cannot be started
         */
        ExitCode run() throws IOException, InterruptedException;
    }

    /** Runs a task until the signal. If the task cannot be started, prints the reason. */
    static ExitCode runTask(CommandContext context, LongRunningTask task) {
        try {
            return task.run();
        } catch (IOException cause) {
            context.err().println("could not start: " + cause.getMessage());
            return ExitCode.REFUSED;
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            return ExitCode.DONE;
        }
    }
}
