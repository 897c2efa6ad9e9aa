package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against retries beyond a host's part of the retry budget of a service. */
class HostRetryBudgetTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    private static final RetryBudgetSettings SETTINGS = new RetryBudgetSettings(0.2, 100);

    private static int countAllowed(int wanted, HostRetryBudget budget, int hosts, long nowNanos) {
        int allowed = 0;
        for (int count = 0; count < wanted; count++) {
            allowed += budget.tryRetry(hosts, nowNanos) ? 1 : 0;
        }
        return allowed;
    }

    private static HostRetryBudget budgetWithRequests(int requests, long startedNanos, double rounding, long nowNanos) {
        HostRetryBudget budget = new HostRetryBudget(SETTINGS, startedNanos, rounding);
        for (int count = 0; count < requests; count++) {
            budget.requestStarted(nowNanos);
        }
        return budget;
    }

    @Test
    void steadyHostHasItsPartOfRatioAndSlack() {
        HostRetryBudget budget = budgetWithRequests(100, 0, 0, 20 * NANOS_PER_SECOND);
        assertEquals(15 + 5, countAllowed(200, budget, 10, 20 * NANOS_PER_SECOND));
        assertEquals(0, countAllowed(200, budget, 10, 29 * NANOS_PER_SECOND));
    }

    /** A host that is killed and restarted must not use its whole part twice in one window. */
    @Test
    void processesBeforeAndAfterRestartStayWithinBudget() {
        long restart = 20 * NANOS_PER_SECOND;
        int before = countAllowed(500, budgetWithRequests(100, 0, 0, restart), 1, restart);
        int after = countAllowed(
                500, budgetWithRequests(100, restart, 0, restart + NANOS_PER_SECOND), 1, restart + NANOS_PER_SECOND);
        int afterTwo = countAllowed(
                500,
                budgetWithRequests(0, restart, 0, restart + 2 * NANOS_PER_SECOND),
                1,
                restart + 2 * NANOS_PER_SECOND);
        assertTrue(before + after + afterTwo <= 0.2 * 100 + 100, before + " + " + after + " + " + afterTwo);
    }

    /** Guards against many small parts being rounded to whole retries that add up to less or more than their sum. */
    @Test
    void fractionalPartsOfManyHostsAddUp() {
        int hosts = 400;
        int allowed = 0;
        for (int host = 0; host < hosts; host++) {
            HostRetryBudget budget = budgetWithRequests(5, 0, (host + 0.5) / hosts, 20 * NANOS_PER_SECOND);
            allowed += countAllowed(10, budget, hosts, 20 * NANOS_PER_SECOND);
        }
        assertEquals(0.15 * 5 * hosts + 50, allowed, 1);
    }

    /** Guards against exceeding the budget in windows that begin within a second. */
    @Test
    void anyTenSecondsStayWithinBudget() {
        HostRetryBudget budget = new HostRetryBudget(new RetryBudgetSettings(0, 100), 0, 0);
        int first = countAllowed(500, budget, 1, 20 * NANOS_PER_SECOND + 900 * NANOS_PER_MILLI);
        int second = countAllowed(500, budget, 1, 30 * NANOS_PER_SECOND + 800 * NANOS_PER_MILLI);
        assertEquals(50, first + second);
        assertEquals(50, countAllowed(500, budget, 1, 32 * NANOS_PER_SECOND));
    }
}
