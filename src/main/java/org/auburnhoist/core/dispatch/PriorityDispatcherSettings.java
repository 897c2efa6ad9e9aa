package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Settings of a {@link PriorityDispatcher}.
 *
 * @param floorShare share of the sound servers that must stay in use while requests fail, from 0 to 1
 * @param firstHoldTime assumed time that a request takes until the first one has ended
 */
public record PriorityDispatcherSettings(double floorShare, Duration firstHoldTime) {}
