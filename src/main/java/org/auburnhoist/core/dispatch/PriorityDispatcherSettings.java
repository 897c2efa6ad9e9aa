package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Settings of a {@link PriorityDispatcher}.
 *
 * @param floor which part of the servers must stay in use
 * @param firstHoldTime assumed time that a request takes until the first one has ended
 */
public record PriorityDispatcherSettings(FloorTerms floor, Duration firstHoldTime) {}
