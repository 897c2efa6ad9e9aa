package org.auburnhoist.core.dispatch;

/**
 * Further attempts that a service tolerates in any ten seconds, over all hosts.
 *
 * @param ratio further attempts for each request
 * @param slack further attempts besides
 */
public record RetryBudgetSettings(double ratio, double slack) {}
