package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Settings of a {@link PriorityDispatcher}.
 *
 * @param floor the minimum share of healthy servers that must stay in use
 * @param initialHoldTime assumed time that a request holds a slot, used until one has been measured
 */
public record PriorityDispatcherSettings(FloorSettings floor, Duration initialHoldTime) {}
