package org.auburnhoist.host;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against errors in control tasks that have an effect beyond the task that failed. */
@Timeout(30)
class ControlThreadTest {
    private final ControlThread control = new ControlThread("control");

    @AfterEach
    void close() {
        control.close();
    }

    /**
     * Guards against a host whose periodic reports and reads stop for good after one unexpected error while its process
     * keeps running.
     */
    @Test
    void anErrorInAPeriodicTaskEndsOnlyThatRun() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        control.scheduleWithFixedDelay(Duration.ofMillis(5), now -> {
            runs.countDown();
            throw new StackOverflowError("of the test");
        });
        assertTrue(runs.await(20, TimeUnit.SECONDS));
    }

    /** Guards against requests that wait forever for a decision that failed with an error. */
    @Test
    void anErrorInATaskCompletesItsFutureExceptionally() throws Exception {
        CompletableFuture<String> failed = control.compute(now -> {
            throw new StackOverflowError("of the test");
        });
        ExecutionException failure = assertThrows(ExecutionException.class, () -> failed.get(20, TimeUnit.SECONDS));
        assertInstanceOf(StackOverflowError.class, failure.getCause());
        CompletableFuture<String> next = control.compute(now -> "answer");
        assertTrue(next.get(20, TimeUnit.SECONDS).equals("answer"));
    }
}
