package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Settings of a {@link PriorityDispatcher}.
 *
 * @param floor which part of the servers must stay in use
 * @param initialHoldTime assumed time that a request takes until the first one has ended
 */
public record PriorityDispatcherSettings(FloorSettings floor, Duration initialHoldTime) {}
