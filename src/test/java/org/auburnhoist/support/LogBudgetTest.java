package org.auburnhoist.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a log whose rate is unbounded, and against traffic that is delayed by a slow reader of the log. */
@Timeout(60)
class LogBudgetTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void writtenBytesStayWithinTheRateLimit() {
        LogBudget budget = new LogBudget(10_000, 0);
        long written = 0;
        for (long nowNanos = 0; nowNanos < 100 * SECOND; nowNanos += SECOND / 1_000) {
            written += budget.tryAcquire(LogBudget.Kind.FAILURE, 250, nowNanos) ? 250 : 0;
        }
        assertTrue(written <= 10_000 * (100 + 4), "written " + written);
        assertTrue(written >= 10_000 * 100, "written " + written);
    }

    @Test
    void failuresAreWrittenWhileRoutineLinesAreLeftOut() {
        LogBudget budget = new LogBudget(10_000, 0);
        int failures = 0;
        for (long nowNanos = 0; nowNanos < 20 * SECOND; nowNanos += SECOND / 1_000) {
            budget.tryAcquire(LogBudget.Kind.ROUTINE, 250, nowNanos);
            if (nowNanos % (SECOND / 10) == 0) {
                failures += budget.tryAcquire(LogBudget.Kind.FAILURE, 250, nowNanos) ? 1 : 0;
            }
        }
        assertEquals(200, failures);
        Map<LogBudget.Kind, Long> leftOut = budget.drainLeftOutCounts();
        assertTrue(leftOut.getOrDefault(LogBudget.Kind.ROUTINE, 0L) > 15_000);
        assertFalse(leftOut.containsKey(LogBudget.Kind.FAILURE));
        assertTrue(budget.drainLeftOutCounts().isEmpty());
    }

    @Test
    void blockedReaderOfTheLogDoesNotBlockTheProcess() throws Exception {
        CountDownLatch readerResumed = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int value) {
                throw new UnsupportedOperationException("expected each line to be written by one call");
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                try {
                    readerResumed.await();
                } catch (InterruptedException cause) {
                    Thread.currentThread().interrupt();
                }
                written.write(bytes, offset, length);
            }
        };
        AsyncStderrHandler handler = new AsyncStderrHandler(1e9, blocked);
        handler.setFormatter(new LogFormatter());
        for (int line = 0; line < 20_000; line++) {
            handler.publish(new LogRecord(Level.INFO, "event=line number=" + line));
        }
        assertTrue(handler.leftOut() > 10_000, "left out " + handler.leftOut());
        readerResumed.countDown();
        handler.flush();
        assertTrue(written.toString(StandardCharsets.UTF_8).contains("number=0"));
    }
}
