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
    private static final long LOG_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final RetryBudgetSettings settings;
    private final RandomGenerator random;
    private final long startedNanos;
    private final Map<String, ServiceBudget> budgets = new HashMap<>();
    /** The largest number of hosts known so far; while hosts are lost their parts stay theirs. */
    private int maxHosts = 1;

    private static final class ServiceBudget {
        private final HostRetryBudget budget;
        private long lastLoggedNanos;

        ServiceBudget(HostRetryBudget budget, long nowNanos) {
            this.budget = budget;
            this.lastLoggedNanos = nowNanos - LOG_INTERVAL_NANOS;
        }
    }

    RetryBudgets(RetryBudgetSettings tolerance, RandomGenerator random, long startedNanos) {
        this.settings = tolerance;
        this.random = random;
        this.startedNanos = startedNanos;
    }

    /** Takes in how many hosts the fleet has. */
    void updateHostCount(int count) {
        maxHosts = Math.max(maxHosts, count);
    }

    /** Counts a caller's request once, however often a server is chosen for it. */
    void requestStarted(String service, long nowNanos) {
        budgetOf(service, nowNanos).budget.requestStarted(nowNanos);
    }

    /**
     * Decides about an attempt, and counts it if it is a further one and allowed.
     *
     * @param service the service
     * @param attempt 1 as long as no server has got the request
     * @param nowNanos the present time
     */
    boolean tryAttempt(String service, int attempt, long nowNanos) {
        if (attempt <= 1) {
            return true;
        }
        ServiceBudget entry = budgetOf(service, nowNanos);
        boolean allowed = entry.budget.tryRetry(maxHosts, nowNanos);
        if (!allowed && nowNanos - entry.lastLoggedNanos >= LOG_INTERVAL_NANOS) {
            entry.lastLoggedNanos = nowNanos;
            logExhausted(service, entry.budget, nowNanos);
        }
        return allowed;
    }

    private ServiceBudget budgetOf(String service, long nowNanos) {
        return budgets.computeIfAbsent(
                service,
                name -> new ServiceBudget(new HostRetryBudget(settings, startedNanos, random.nextDouble()), nowNanos));
    }

    private void logExhausted(String service, HostRetryBudget budget, long nowNanos) {
        Event.named("retry-budget-used-up")
                .with("service", service)
                .with("retries", budget.recentRetries(nowNanos))
                .with("retries_allowed", Math.round(10 * budget.allowedRetries(maxHosts, nowNanos)) / 10.0)
                .with("hosts", maxHosts)
                .routine();
    }
}
