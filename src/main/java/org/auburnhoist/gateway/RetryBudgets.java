package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.dispatch.HostRetryBudget;
import org.auburnhoist.core.dispatch.RetryBudgetSettings;
import org.auburnhoist.support.Event;

/** This host's retry budgets, one for each service. Confined to the control thread. */
final class RetryBudgets {
    /** Minimum interval between log entries on an exhausted budget of a service. */
    private static final long LOG_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final RetryBudgetSettings settings;
    private final RandomGenerator random;
    private final long startedNanos;
    private final Map<String, ServiceBudget> budgets = new HashMap<>();
    /** The largest number of hosts known so far; the shares of lost hosts are not redistributed. */
    private int maxHosts = 1;

    private static final class ServiceBudget {
        private final HostRetryBudget budget;
        private long lastLoggedNanos;

        ServiceBudget(HostRetryBudget budget, long nowNanos) {
            this.budget = budget;
            this.lastLoggedNanos = nowNanos - LOG_INTERVAL_NANOS;
        }
    }

    RetryBudgets(RetryBudgetSettings settings, RandomGenerator random, long startedNanos) {
        this.settings = settings;
        this.random = random;
        this.startedNanos = startedNanos;
    }

    /** Updates the number of hosts in the fleet. */
    void updateHostCount(int count) {
        maxHosts = Math.max(maxHosts, count);
    }

    /** Counts a caller's request once, however often a server is selected for it. */
    void requestStarted(String service, long nowNanos) {
        budgetOf(service, nowNanos).budget.requestStarted(nowNanos);
    }

    /**
     * Decides whether an attempt may be made, and counts it if it is an allowed retry.
     *
     * @param service the service
     * @param attempt number of the attempt, 1 as long as no server has received the request
     * @param nowNanos the current time
     */
    boolean tryAttempt(String service, int attempt, long nowNanos) {
        if (attempt <= 1) {
            return true;
        }
        ServiceBudget serviceBudget = budgetOf(service, nowNanos);
        boolean allowed = serviceBudget.budget.tryRetry(maxHosts, nowNanos);
        if (!allowed && nowNanos - serviceBudget.lastLoggedNanos >= LOG_INTERVAL_NANOS) {
            serviceBudget.lastLoggedNanos = nowNanos;
            logExhausted(service, serviceBudget.budget, nowNanos);
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
                .logRoutine();
    }
}
