package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.auburnhoist.core.message.AttemptOutcome;
import org.junit.jupiter.api.Test;

class RetryStateTest {
    /** Guards against ending a request after rejections by all its servers although time is left until its deadline. */
    @Test
    void requestRejectedByAllServersReturnsToThem() {
        RetryState state = new RetryState(2, false);
        state.attemptEnded("a", AttemptOutcome.REJECTED, true);
        assertTrue(state.mayRetry());
        assertEquals(List.of("a"), state.excludedServers());
        assertEquals(List.of(), state.allowedServers());
        state.attemptEnded("b", AttemptOutcome.REJECTED, true);
        assertTrue(state.mayRetry());
        assertEquals(List.of("a", "b"), state.allowedServers());
        assertEquals(List.of(), state.excludedServers());
        assertEquals(3, state.nextAttemptNumber());
    }

    /** Guards against sending a request to more servers than its route allows. */
    @Test
    void serverThatRanTheRequestIsNotUsedAgain() {
        RetryState state = new RetryState(2, true);
        state.attemptEnded("a", AttemptOutcome.SERVER_ERROR, true);
        state.attemptEnded("b", AttemptOutcome.REJECTED, true);
        assertTrue(state.mayRetry());
        assertEquals(List.of("b"), state.allowedServers());
        state.attemptEnded("b", AttemptOutcome.SERVER_ERROR, true);
        assertFalse(state.mayRetry());
    }

    /** Guards against running a non-idempotent request twice. */
    @Test
    void requestThatMayHaveRunIsRetriedOnlyIfIdempotent() {
        for (AttemptOutcome outcome : List.of(
                AttemptOutcome.SERVER_ERROR,
                AttemptOutcome.CONNECTION_LOST,
                AttemptOutcome.TIMEOUT,
                AttemptOutcome.TRUNCATED)) {
            RetryState nonIdempotent = new RetryState(3, false);
            nonIdempotent.attemptEnded("a", outcome, true);
            assertFalse(nonIdempotent.mayRetry(), outcome.toString());
            nonIdempotent.attemptEnded("b", AttemptOutcome.REJECTED, true);
            assertFalse(nonIdempotent.mayRetry(), outcome + " and a rejection");
            RetryState idempotent = new RetryState(3, true);
            idempotent.attemptEnded("a", outcome, true);
            assertTrue(idempotent.mayRetry(), outcome.toString());
        }
    }

    /** Guards against requests that are sent between overloaded servers endlessly. */
    @Test
    void returnsAreLimited() {
        RetryState state = new RetryState(1, false);
        int attempts = 0;
        while (state.mayRetry()) {
            state.attemptEnded("a", AttemptOutcome.REJECTED, true);
            attempts++;
        }
        assertEquals(5, attempts);
    }

    /** Guards against ending a request because a server could not be reached. */
    @Test
    void attemptsWithNothingSentDoNotCountTowardServerLimit() {
        RetryState state = new RetryState(1, false);
        state.attemptEnded("a", AttemptOutcome.CONNECT_FAILED, false);
        assertTrue(state.mayRetry());
        assertEquals(1, state.nextAttemptNumber());
        assertEquals(List.of("a"), state.excludedServers());
    }
}
