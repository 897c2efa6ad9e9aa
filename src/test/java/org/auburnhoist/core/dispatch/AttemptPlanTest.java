package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.auburnhoist.core.message.AttemptOutcome;
import org.junit.jupiter.api.Test;

class AttemptPlanTest {
    /** Guards against a refusal by two busy servers that ends a request while its time is not used up. */
    @Test
    void aRequestThatAllItsServersRejectedReturnsToThem() {
        RetryState plan = new RetryState(2, false);
        plan.attemptEnded("a", AttemptOutcome.REJECTED, true);
        assertTrue(plan.mayRetry());
        assertEquals(List.of("a"), plan.excludedServers());
        assertEquals(List.of(), plan.allowedServers());
        plan.attemptEnded("b", AttemptOutcome.REJECTED, true);
        assertTrue(plan.mayRetry());
        assertEquals(List.of("a", "b"), plan.allowedServers());
        assertEquals(List.of(), plan.excludedServers());
        assertEquals(3, plan.nextAttemptNumber());
    }

    /** Guards against more servers for one request than its route allows. */
    @Test
    void aServerThatRanTheRequestIsNotReturnedTo() {
        RetryState plan = new RetryState(2, true);
        plan.attemptEnded("a", AttemptOutcome.SERVER_ERROR, true);
        plan.attemptEnded("b", AttemptOutcome.REJECTED, true);
        assertTrue(plan.mayRetry());
        assertEquals(List.of("b"), plan.allowedServers());
        plan.attemptEnded("b", AttemptOutcome.SERVER_ERROR, true);
        assertFalse(plan.mayRetry());
    }

    /** Guards against a second run of a request that may run once. */
    @Test
    void aRequestThatMayHaveRunIsRepeatedOnlyIfItIsIdempotent() {
        for (AttemptOutcome outcome : List.of(
                AttemptOutcome.SERVER_ERROR,
                AttemptOutcome.CONNECTION_LOST,
                AttemptOutcome.TIMEOUT,
                AttemptOutcome.TRUNCATED)) {
            RetryState unsafe = new RetryState(3, false);
            unsafe.attemptEnded("a", outcome, true);
            assertFalse(unsafe.mayRetry(), outcome.toString());
            unsafe.attemptEnded("b", AttemptOutcome.REJECTED, true);
            assertFalse(unsafe.mayRetry(), outcome + " and a rejection");
            RetryState safe = new RetryState(3, true);
            safe.attemptEnded("a", outcome, true);
            assertTrue(safe.mayRetry(), outcome.toString());
        }
    }

    /** Guards against requests that go back and forth between busy servers without end. */
    @Test
    void returnsAreBounded() {
        RetryState plan = new RetryState(1, false);
        int attempts = 0;
        while (plan.mayRetry()) {
            plan.attemptEnded("a", AttemptOutcome.REJECTED, true);
            attempts++;
        }
        assertEquals(5, attempts);
    }

    /** Guards against a request that is given up because a server could not be reached. */
    @Test
    void attemptsOfWhichNothingWasSentDoNotUseUpTheServers() {
        RetryState plan = new RetryState(1, false);
        plan.attemptEnded("a", AttemptOutcome.CONNECT_FAILED, false);
        assertTrue(plan.mayRetry());
        assertEquals(1, plan.nextAttemptNumber());
        assertEquals(List.of("a"), plan.excludedServers());
    }
}
