package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Which part of a service's servers must stay in use.
 *
 * @param share share of the sound servers, from 0 to 1
 * @param recoveryTime how long after the end of a disturbance a server counts as sound again
 */
public record FloorSettings(double share, Duration recoveryTime) {}
