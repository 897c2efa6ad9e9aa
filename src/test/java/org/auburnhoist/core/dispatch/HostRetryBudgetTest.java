package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against repeats beyond a host's part of what a service tolerates. */
class HostRetryBudgetTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final RetryBudgetSettings TOLERANCE = new RetryBudgetSettings(0.2, 100);

    private static int allowedOf(int wanted, HostRetryBudget budget, int hosts, long nowNanos) {
        int allowed = 0;
        for (int count = 0; count < wanted; count++) {
            allowed += budget.tryRetry(hosts, nowNanos) ? 1 : 0;
        }
        return allowed;
    }

    private static HostRetryBudget withRequests(int requests, long startedNanos, double rounding, long nowNanos) {
        HostRetryBudget budget = new HostRetryBudget(TOLERANCE, startedNanos, rounding);
        for (int count = 0; count < requests; count++) {
            budget.requestStarted(nowNanos);
        }
        return budget;
    }

    @Test
    void aSettledHostHasItsPartOfTheShareAndOfTheSlack() {
        HostRetryBudget budget = withRequests(100, 0, 0, 20 * SECOND);
        assertEquals(15 + 5, allowedOf(200, budget, 10, 20 * SECOND));
        assertEquals(0, allowedOf(200, budget, 10, 29 * SECOND));
    }

    /** A host that is killed and starts again must not have the whole part twice in one window. */
    @Test
    void theHostsBeforeAndAfterARestartHaveTheToleranceTogether() {
        long restart = 20 * SECOND;
        int before = allowedOf(500, withRequests(100, 0, 0, restart), 1, restart);
        int after = allowedOf(500, withRequests(100, restart, 0, restart + SECOND), 1, restart + SECOND);
        int afterTwo = allowedOf(500, withRequests(0, restart, 0, restart + 2 * SECOND), 1, restart + 2 * SECOND);
        assertTrue(before + after + afterTwo <= 0.2 * 100 + 100, before + " + " + after + " + " + afterTwo);
    }

    /** Whole attempts of many small parts must neither be lost nor add up to more than the sum of the parts. */
    @Test
    void smallPartsOfManyHostsAddUp() {
        int hosts = 400;
        int allowed = 0;
        for (int host = 0; host < hosts; host++) {
            HostRetryBudget budget = withRequests(5, 0, (host + 0.5) / hosts, 20 * SECOND);
            allowed += allowedOf(10, budget, hosts, 20 * SECOND);
        }
        assertEquals(0.15 * 5 * hosts + 50, allowed, 1);
    }

    /** Guards against windows that begin between two counted seconds. */
    @Test
    void anyTenSecondsStayWithinThePart() {
        HostRetryBudget budget = new HostRetryBudget(new RetryBudgetSettings(0, 100), 0, 0);
        int first = allowedOf(500, budget, 1, 20 * SECOND + 900 * MILLI);
        int second = allowedOf(500, budget, 1, 30 * SECOND + 800 * MILLI);
        assertEquals(50, first + second);
        assertEquals(50, allowedOf(500, budget, 1, 32 * SECOND));
    }
}
