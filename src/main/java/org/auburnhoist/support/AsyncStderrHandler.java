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
 * traffic. Lines beyond the {@link LogBudget} or the queue are left out; a line of the log tells how many.
 */
final class AsyncStderrHandler extends Handler {
    /** Bounds the memory of a process whose log is not read: about 1 MB at 256 bytes a line. */
    private static final int QUEUED_RECORDS = 4_096;

    private static final int CLOSE_WAIT_MILLIS = 5_000;
    /** How often lines that were left out are reported while there are any. */
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUED_RECORDS);
    private final OutputStream out;
    private final LogBudget budget;
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong written = new AtomicLong();
    private final AtomicLong leftOutTotal = new AtomicLong();
    private long reportedNanos = System.nanoTime();

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
        if (!budget.tryTake(kind, line.length, System.nanoTime())) {
            leftOutTotal.incrementAndGet();
            return;
        }
        accepted.incrementAndGet();
        if (!queue.offer(line)) {
            accepted.decrementAndGet();
            leftOutTotal.incrementAndGet();
            budget.leftOut(kind);
        }
    }

    /** Lines that were left out since the start. */
    long leftOut() {
        return leftOutTotal.get();
    }

    @Override
    public void flush() {
        long target = accepted.get();
        long start = System.nanoTime();
        while (written.get() < target && System.nanoTime() - start < CLOSE_WAIT_MILLIS * 1_000_000L) {
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
                written.incrementAndGet();
                reportLeftOut(System.nanoTime());
            }
        } catch (InterruptedException | IOException closed) {
            // Standard error is gone; nothing is left to write to.
        }
    }

    private void reportLeftOut(long nowNanos) throws IOException {
        if (nowNanos - reportedNanos < REPORT_NANOS) {
            return;
        }
        reportedNanos = nowNanos;
        Map<LogBudget.Kind, Long> leftOut = budget.takeLeftOut();
        if (!leftOut.isEmpty()) {
            Event event = Event.named("log-lines-left-out");
            leftOut.forEach((kind, count) -> event.with(kind.name().toLowerCase(Locale.ROOT), count));
            out.write(LogFormatter.line(event).getBytes(StandardCharsets.UTF_8));
        }
    }
}
