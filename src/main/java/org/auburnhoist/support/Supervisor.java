package org.auburnhoist.support;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Knows whether the parts of a process that serve callers make progress, and ends the process if one of them stays
 * without.
 *
 * <p>Only time in which the supervisor itself ran counts, so that a frozen process, or one with little processor time,
 * is not taken for one that is stuck.
 *
 * <pre>{@code
 * WatchedPart timer = supervisor.watch("proxy-timer");
 * ...
 * timer.progressed();   // in each run of the timer
 * }</pre>
 */
public final class Supervisor implements AutoCloseable {
    /** Time between two checks. */
    static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);
    /** Maximum time that one check counts; the remainder is time in which the supervisor did not run either. */
    static final Duration MAX_COUNTED = Duration.ofSeconds(2);
    /** Time without progress of a part after which the process is not healthy. */
    static final Duration UNHEALTHY_AFTER = Duration.ofSeconds(5);
    /** Time after the end of a part after which the process ends. */
    static final Duration ENDED_LIMIT = Duration.ofSeconds(5);
    /** Time without progress of a part after which the process ends; far above the pauses of a busy host. */
    static final Duration STUCK_LIMIT = Duration.ofSeconds(60);

    private final Consumer<String> endProcess;
    private final List<WatchedPart> parts = new CopyOnWriteArrayList<>();
    private final List<Runnable> probes = new CopyOnWriteArrayList<>();
    private @Nullable Thread thread;
    private long lastCheckNanos;
    private volatile boolean silent;
    private volatile boolean closed;

    /**
     * Creates a supervisor that checks when it is told to.
     *
     * @param endProcess ends the process; receives the name of the part that has ended or is stuck
     * @param nowNanos the present time
     */
    public Supervisor(Consumer<String> endProcess, long nowNanos) {
        this.endProcess = endProcess;
        this.lastCheckNanos = nowNanos;
    }

    /** A supervisor that neither checks nor ends the process; it knows only which parts have ended. */
    public static Supervisor withoutChecks() {
        return new Supervisor(part -> {}, 0);
    }

    /** Starts the thread that checks at regular intervals. */
    public Supervisor start() {
        Thread started = new Thread(this::run, "supervisor");
        started.setDaemon(true);
        thread = started;
        started.start();
        return this;
    }

    /** Adds a task that runs after each check, for parts that report only when they are asked; it must not wait. */
    public void addProbe(Runnable probe) {
        probes.add(probe);
    }

    /** Adds a part, which must report its progress at least once a second from now on. */
    public WatchedPart watch(String name) {
        WatchedPart part = new WatchedPart(name);
        parts.add(part);
        return part;
    }

    /** Whether no part has ended, and none has been without progress for long. */
    public boolean isHealthy() {
        return !silent && parts.stream().noneMatch(WatchedPart::hasEnded);
    }

    /** Ends the checks, before the parts end as planned. */
    @Override
    public void close() {
        closed = true;
        Thread started = thread;
        if (started != null) {
            started.interrupt();
        }
    }

    /** Judges all parts by the progress that they have made since the last check. */
    void check(long nowNanos) {
        long counted = Math.min(nowNanos - lastCheckNanos, MAX_COUNTED.toNanos());
        lastCheckNanos = nowNanos;
        boolean anySilent = false;
        for (WatchedPart part : parts) {
            long silentNanos = part.addTime(counted);
            boolean partSilent = silentNanos >= UNHEALTHY_AFTER.toNanos();
            if (partSilent && silentNanos - counted < UNHEALTHY_AFTER.toNanos()) {
                logPart("part-silent", part, silentNanos);
            }
            anySilent |= partSilent;
            Duration limit = part.hasEnded() ? ENDED_LIMIT : STUCK_LIMIT;
            if (silentNanos >= limit.toNanos() && !closed) {
                logPart("process-ends", part, silentNanos);
                endProcess.accept(part.name());
            }
        }
        silent = anySilent;
        probes.forEach(Runnable::run);
    }

    private static void logPart(String event, WatchedPart part, long silentNanos) {
        Event.named(event)
                .with("part", part.name())
                .with("ended", part.hasEnded())
                .with("silent_millis", silentNanos / 1_000_000L)
                .warn();
    }

    private void run() {
        while (!closed) {
            try {
                Thread.sleep(CHECK_INTERVAL.toMillis());
                check(System.nanoTime());
            } catch (InterruptedException stop) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException | Error cause) {
                // Without this thread nothing would notice that another one has ended.
                Event.named("supervisor-check-failed").with("cause", cause).warn();
            }
        }
    }
}
