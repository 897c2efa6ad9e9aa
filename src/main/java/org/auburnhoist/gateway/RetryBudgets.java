package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.dispatch.HostRetryBudget;
import org.auburnhoist.core.dispatch.RetryBudgetSettings;
import org.auburnhoist.support.Event;

/** This host's budgets of further attempts, one for each service. Belongs to the control thread. */
final class RetryBudgets {
    /** How often it is logged at most that the budget of a service is used up. */
    private static final long REPORT_NANOS = Duration.ofSeconds(1).toNanos();

    private final RetryBudgetSettings tolerance;
    private final RandomGenerator random;
    private final long startedNanos;
    private final Map<String, Entry> entries = new HashMap<>();
    /** The largest number of hosts known so far; while hosts are lost their parts stay theirs. */
    private int mostHosts = 1;

    private static final class Entry {
        private final HostRetryBudget budget;
        private long reportedNanos;

        Entry(HostRetryBudget budget, long nowNanos) {
            this.budget = budget;
            this.reportedNanos = nowNanos - REPORT_NANOS;
        }
    }

    RetryBudgets(RetryBudgetSettings tolerance, RandomGenerator random, long startedNanos) {
        this.tolerance = tolerance;
        this.random = random;
        this.startedNanos = startedNanos;
    }

    /** Takes in how many hosts the fleet has. */
    void hosts(int count) {
        mostHosts = Math.max(mostHosts, count);
    }

    /** Counts a caller's request once, however often a server is chosen for it. */
    void requestStarted(String service, long nowNanos) {
        entry(service, nowNanos).budget.requestStarted(nowNanos);
    }

    /**
     * Decides about an attempt, and counts it if it is a further one and allowed.
     *
     * @param service the service
     * @param attempt 1 as long as no server has got the request
     * @param nowNanos the present time
     */
    boolean mayAttempt(String service, int attempt, long nowNanos) {
        if (attempt <= 1) {
            return true;
        }
        Entry entry = entry(service, nowNanos);
        boolean allowed = entry.budget.tryRetry(mostHosts, nowNanos);
        if (!allowed && nowNanos - entry.reportedNanos >= REPORT_NANOS) {
            entry.reportedNanos = nowNanos;
            report(service, entry.budget, nowNanos);
        }
        return allowed;
    }

    private Entry entry(String service, long nowNanos) {
        return entries.computeIfAbsent(
                service,
                name -> new Entry(new HostRetryBudget(tolerance, startedNanos, random.nextDouble()), nowNanos));
    }

    private void report(String service, HostRetryBudget budget, long nowNanos) {
        Event.named("retry-budget-used-up")
                .with("service", service)
                .with("retries", budget.recentRetries(nowNanos))
                .with("retries_allowed", Math.round(10 * budget.allowedRetries(mostHosts, nowNanos)) / 10.0)
                .with("hosts", mostHosts)
                .routine();
    }
}
