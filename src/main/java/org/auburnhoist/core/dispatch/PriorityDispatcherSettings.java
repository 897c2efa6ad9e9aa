package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Settings of a {@link PriorityDispatcher}.
 *
 * @param retryShare further attempts for each request of the last 10 s
 * @param retrySlack further attempts allowed in 10 s besides
 * @param floorShare share of the sound servers that must stay in use while requests fail, from 0 to 1
 * @param firstHoldTime assumed time that a request takes until the first one has ended
 */
public record PriorityDispatcherSettings(
        double retryShare, double retrySlack, double floorShare, Duration firstHoldTime) {}
