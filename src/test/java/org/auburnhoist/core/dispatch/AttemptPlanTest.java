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
        AttemptPlan plan = new AttemptPlan(2, false);
        plan.ended("a", AttemptOutcome.REJECTED, true);
        assertTrue(plan.mayGoOn());
        assertEquals(List.of("a"), plan.excluded());
        assertEquals(List.of(), plan.returnsTo());
        plan.ended("b", AttemptOutcome.REJECTED, true);
        assertTrue(plan.mayGoOn());
        assertEquals(List.of("a", "b"), plan.returnsTo());
        assertEquals(List.of(), plan.excluded());
        assertEquals(3, plan.nextNumber());
    }

    /** Guards against more servers for one request than its route allows. */
    @Test
    void aServerThatRanTheRequestIsNotReturnedTo() {
        AttemptPlan plan = new AttemptPlan(2, true);
        plan.ended("a", AttemptOutcome.SERVER_ERROR, true);
        plan.ended("b", AttemptOutcome.REJECTED, true);
        assertTrue(plan.mayGoOn());
        assertEquals(List.of("b"), plan.returnsTo());
        plan.ended("b", AttemptOutcome.SERVER_ERROR, true);
        assertFalse(plan.mayGoOn());
    }

    /** Guards against a second run of a request that may run once. */
    @Test
    void aRequestThatMayHaveRunIsRepeatedOnlyIfItIsIdempotent() {
        for (AttemptOutcome outcome : List.of(
                AttemptOutcome.SERVER_ERROR,
                AttemptOutcome.CONNECTION_LOST,
                AttemptOutcome.TIMEOUT,
                AttemptOutcome.TRUNCATED)) {
            AttemptPlan unsafe = new AttemptPlan(3, false);
            unsafe.ended("a", outcome, true);
            assertFalse(unsafe.mayGoOn(), outcome.toString());
            unsafe.ended("b", AttemptOutcome.REJECTED, true);
            assertFalse(unsafe.mayGoOn(), outcome + " and a rejection");
            AttemptPlan safe = new AttemptPlan(3, true);
            safe.ended("a", outcome, true);
            assertTrue(safe.mayGoOn(), outcome.toString());
        }
    }

    /** Guards against requests that go back and forth between busy servers without end. */
    @Test
    void returnsAreBounded() {
        AttemptPlan plan = new AttemptPlan(1, false);
        int attempts = 0;
        while (plan.mayGoOn()) {
            plan.ended("a", AttemptOutcome.REJECTED, true);
            attempts++;
        }
        assertEquals(5, attempts);
    }

    /** Guards against a request that is given up because a server could not be reached. */
    @Test
    void attemptsOfWhichNothingWasSentDoNotUseUpTheServers() {
        AttemptPlan plan = new AttemptPlan(1, false);
        plan.ended("a", AttemptOutcome.CONNECT_FAILED, false);
        assertTrue(plan.mayGoOn());
        assertEquals(1, plan.nextNumber());
        assertEquals(List.of("a"), plan.excluded());
    }
}
