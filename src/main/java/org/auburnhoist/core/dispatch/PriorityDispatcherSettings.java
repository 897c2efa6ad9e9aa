package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Settings of a {@link PriorityDispatcher}.
 *
 * @param retryShare further attempts for each request of the last 10 s
 * @param leastRetries further attempts allowed in 10 s whatever the traffic
 * @param floorShare share of the sound servers that must stay in use while requests fail, from 0 to 1
 * @param firstHoldTime assumed time that a request takes until the first one has ended
 */
public record PriorityDispatcherSettings(
        double retryShare, double leastRetries, double floorShare, Duration firstHoldTime) {}
