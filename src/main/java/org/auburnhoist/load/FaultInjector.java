package org.auburnhoist.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.KeyFileEditor;
import org.auburnhoist.emulator.GrayMode;

/** Injects the faults of an experiment at their scheduled times. */
final class FaultInjector implements AutoCloseable {
    private static final Duration RESTART_READY_LIMIT = Duration.ofSeconds(30);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final LocalFleet fleet;
    private final Consumer<String> progress;
    private final Map<String, Long> withdrawnNanos = new HashMap<>();

    // Two threads, so that host restarts, which take long, do not delay the end of other faults.
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "fault-injector");
        thread.setDaemon(true);
        return thread;
    });
    private volatile int restarted;

    FaultInjector(LocalFleet fleet, Consumer<String> progress) {
        this.fleet = fleet;
        this.progress = progress;
    }

    void schedule(List<Fault> faults) {
        faults.forEach(this::schedule);
    }

    /** Returns the number of hosts restarted so far. */
    int restarted() {
        return restarted;
    }

    /** Returns, by key, the time at which the store accepted the withdrawal. */
    synchronized Map<String, Long> withdrawnNanos() {
        return Map.copyOf(withdrawnNanos);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void schedule(Fault fault) {
        if (fault instanceof Fault.Gray gray) {
            scheduleAction(
                    fault.at(),
                    "gray " + gray.server() + " " + gray.mode(),
                    () -> setGrayMode(gray.server(), gray.mode()));
            scheduleAction(
                    gray.until(),
                    "end of gray " + gray.server(),
                    () -> setGrayMode(gray.server(), new GrayMode.Healthy()));
        } else if (fault instanceof Fault.StoreUnavailable outage) {
            scheduleAction(fault.at(), "store away", fleet.storeEmulator()::refuseConnections);
            scheduleAction(outage.until(), "store back", fleet.storeEmulator()::acceptConnections);
        } else if (fault instanceof Fault.RestartHosts restart) {
            scheduleAction(fault.at(), "restart of " + restart.count() + " hosts", () -> restartHosts(restart.count()));
        } else if (fault instanceof Fault.KillHost kill) {
            scheduleAction(
                    fault.at(),
                    "kill of host " + kill.host(),
                    () -> fleet.hosts().get(kill.host() - 1).close());
        } else if (fault instanceof Fault.WithdrawKey withdraw) {
            scheduleAction(fault.at(), "withdrawal of key " + withdraw.key(), () -> withdraw(withdraw.key()));
        }
    }

    private void setGrayMode(String server, GrayMode mode) {
        fleet.upstreams().server(server).setGrayMode(mode);
    }

    private void restartHosts(int count) throws IOException, InterruptedException, ExecutionException {
        for (int index = 0; index < count; index++) {
            fleet.hosts().get(index).stop().get();
            fleet.replaceHost(index);
            awaitReady(index);
            restarted = index + 1;
            progress.accept("host " + (index + 1) + " restarted");
        }
    }

    private void awaitReady(int index) throws InterruptedException {
        long start = System.nanoTime();
        while (!fleet.hosts().get(index).snapshot().isFresh(System.nanoTime())
                && System.nanoTime() - start < RESTART_READY_LIMIT.toNanos()) {
            Thread.sleep(CHECK_INTERVAL.toMillis());
        }
    }

    private void withdraw(String key) {
        List<ConfigurationFile> changed = fleet.files().stream()
                .map(file -> new String(file.content(), StandardCharsets.UTF_8).contains("  " + key + ":")
                        ? KeyFileEditor.withdraw(file, key).get()
                        : file)
                .toList();
        fleet.apply(changed);
        synchronized (this) {
            withdrawnNanos.put(key, System.nanoTime());
        }
    }

    private void scheduleAction(Duration time, String description, Action action) {
        timer.schedule(
                () -> {
                    progress.accept(description);
                    try {
                        action.run();
                    } catch (IOException | ExecutionException | RuntimeException failed) {
                        progress.accept("FAILED: " + description + ": " + failed);
                    } catch (InterruptedException ended) {
                        Thread.currentThread().interrupt();
                    }
                },
                time.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private interface Action {
        void run() throws IOException, InterruptedException, ExecutionException;
    }
}
