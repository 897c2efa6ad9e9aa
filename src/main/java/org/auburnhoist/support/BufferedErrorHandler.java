package org.auburnhoist.support;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes formatted records to standard error on a thread of its own, so that a slow reader of the log does not delay
 * traffic. When the queue is full the logging thread waits, because the record of a request must not be lost.
 */
final class BufferedErrorHandler extends Handler {
    private static final int QUEUED_RECORDS = 16_384;
    private static final int CLOSE_WAIT_MILLIS = 5_000;

    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUED_RECORDS);
    private final OutputStream out = new FileOutputStream(FileDescriptor.err);
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong written = new AtomicLong();

    BufferedErrorHandler() {
        Thread writer = new Thread(this::writeQueued, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord logged) {
        byte[] line = getFormatter().format(logged).getBytes(StandardCharsets.UTF_8);
        accepted.incrementAndGet();
        try {
            queue.put(line);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
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
            }
        } catch (InterruptedException | IOException closed) {
            // Standard error is gone; nothing is left to write to.
        }
    }
}
