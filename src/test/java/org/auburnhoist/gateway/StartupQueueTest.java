package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.proxy.Admission;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a starting host that refuses requests although its configuration arrives a moment later. */
class StartupQueueTest {
    private static final Admission DECIDED = new Admission.Refused(Refusal.ROUTE_UNKNOWN, "decided", -1, List.of());

    private final ControlThread control = new ControlThread("test");
    private final StartupQueue queue = new StartupQueue(control);
    private final List<String> order = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void close() {
        control.close();
    }

    private CompletionStage<Admission> decide(String name) {
        order.add(name);
        return CompletableFuture.completedFuture(DECIDED);
    }

    private CompletableFuture<Admission> enqueue(String name, long allowedMillis) {
        return queue.enqueue(allowedMillis, () -> decide(name)).toCompletableFuture();
    }

    private static Admission.Refused refused(CompletableFuture<Admission> admission) throws Exception {
        return assertInstanceOf(Admission.Refused.class, admission.get(5, TimeUnit.SECONDS));
    }

    @Test
    void requestsWaitForTheConfigurationAndProceedInOrder() throws Exception {
        CompletableFuture<Admission> first = enqueue("first", 30_000);
        CompletableFuture<Admission> second = enqueue("second", 30_000);
        assertFalse(first.isDone());
        control.execute(now -> queue.open());
        assertEquals(DECIDED, first.get(5, TimeUnit.SECONDS));
        assertEquals(DECIDED, second.get(5, TimeUnit.SECONDS));
        assertEquals(DECIDED, enqueue("third", 30_000).get(5, TimeUnit.SECONDS));
        assertEquals(List.of("first", "second", "third"), order);
    }

    @Test
    void aRequestIsRefusedWithARetryDelayBeforeItsTimeIsUsedUp() throws Exception {
        long start = System.nanoTime();
        Admission.Refused answer = refused(enqueue("late", 400));
        assertTrue(System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(400));
        assertEquals(Refusal.HOST_ISOLATED, answer.refusal());
        assertTrue(answer.retryAfterMillis() > 0);
        control.execute(now -> queue.open());
        control.compute(now -> true).get(5, TimeUnit.SECONDS);
        assertEquals(List.of(), order, "a request that was refused must never run");
    }

    @Test
    void theNumberOfWaitingRequestsIsBounded() throws Exception {
        for (int request = 0; request < 200; request++) {
            enqueue("held", 30_000);
        }
        assertEquals(
                Refusal.HOST_ISOLATED, refused(enqueue("one too many", 30_000)).refusal());
    }
}
