package org.auburnhoist.core.dispatch;

/**
 * The maximum number of retries of a service in any ten seconds, over all hosts.
 *
 * @param ratio number of retries allowed for each request
 * @param slack number of retries allowed regardless of the number of requests
 */
public record RetryBudgetSettings(double ratio, double slack) {}
