package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * The minimum share of a service's healthy servers that must stay in use.
 *
 * @param share share of the healthy servers, from 0 to 1
 * @param recoveryTime time after the end of a disturbance at which a server counts as healthy again
 */
public record FloorSettings(double share, Duration recoveryTime) {}
