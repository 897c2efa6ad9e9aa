package org.auburnhoist.host;

import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.dispatch.RetryBudget;

/** The retry budgets of a host, one for each service. Thread-safe, because several traffic threads use them. */
final class ServiceRetryBudgets {
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    synchronized void requestStarted(String service, long nowNanos) {
        budgetOf(service).requestStarted(nowNanos);
    }

    synchronized boolean tryRetry(
            String service, TrafficClass trafficClass, int attempts, int connectionsLost, long nowNanos) {
        return budgetOf(service).tryRetry(trafficClass, attempts, connectionsLost, nowNanos);
    }

    private RetryBudget budgetOf(String service) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget());
    }
}
