package org.auburnhoist.support;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes formatted records to standard error on a thread of its own, so that a slow reader of the log never delays
 * traffic. Lines that exceed the {@link LogBudget} or the capacity of the queue are left out and counted in a log line.
 */
final class AsyncStderrHandler extends Handler {
    /** Bounds the memory of a process whose log is not read: about 1 MB at 256 bytes a line. */
    private static final int MAX_QUEUED_LINES = 4_096;

    private static final int FLUSH_TIMEOUT_MILLIS = 5_000;
    /** Minimum time between two log lines that report how many lines were left out. */
    private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final OutputStream out;
    private final LogBudget budget;
    private final AtomicLong acceptedLines = new AtomicLong();
    private final AtomicLong writtenLines = new AtomicLong();
    private final AtomicLong leftOutTotal = new AtomicLong();
    private long lastReportNanos = System.nanoTime();

    AsyncStderrHandler(double bytesPerSecond) {
        this(bytesPerSecond, new FileOutputStream(FileDescriptor.err));
    }

    AsyncStderrHandler(double bytesPerSecond, OutputStream out) {
        this.out = out;
        this.budget = new LogBudget(bytesPerSecond, System.nanoTime());
        Thread writer = new Thread(this::writeQueued, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord logged) {
        byte[] line = getFormatter().format(logged).getBytes(StandardCharsets.UTF_8);
        LogBudget.Kind kind = LogBudget.Kind.of(logged.getLevel());
        if (!budget.tryAcquire(kind, line.length, System.nanoTime())) {
            leftOutTotal.incrementAndGet();
            return;
        }
        acceptedLines.incrementAndGet();
        if (!queue.offer(line)) {
            acceptedLines.decrementAndGet();
            leftOutTotal.incrementAndGet();
            budget.countLeftOut(kind);
        }
    }

    /** Number of lines that were left out since the start. */
    long leftOut() {
        return leftOutTotal.get();
    }

    @Override
    public void flush() {
        long target = acceptedLines.get();
        long start = System.nanoTime();
        while (writtenLines.get() < target && System.nanoTime() - start < FLUSH_TIMEOUT_MILLIS * 1_000_000L) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        flush();
    }

    private void writeQueued() {
        try {
            while (true) {
                byte[] line = queue.take();
                out.write(line);
                writtenLines.incrementAndGet();
                reportLeftOut(System.nanoTime());
            }
        } catch (InterruptedException | IOException closed) {
            // Standard error is closed, so there is nowhere to report the failure.
        }
    }

    private void reportLeftOut(long nowNanos) throws IOException {
        if (nowNanos - lastReportNanos < REPORT_INTERVAL_NANOS) {
            return;
        }
        lastReportNanos = nowNanos;
        Map<LogBudget.Kind, Long> leftOut = budget.drainLeftOutCounts();
        if (!leftOut.isEmpty()) {
            Event event = Event.named("log-lines-left-out");
            leftOut.forEach((kind, count) -> event.with(kind.name().toLowerCase(Locale.ROOT), count));
            out.write(LogFormatter.formatWarning(event).getBytes(StandardCharsets.UTF_8));
        }
    }
}
