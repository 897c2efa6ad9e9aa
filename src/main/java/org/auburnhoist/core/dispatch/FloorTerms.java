package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Which part of a service's servers must stay in use.
 *
 * @param share share of the sound servers, from 0 to 1
 * @param soundAfter how long after the end of a disturbance a server counts as sound again
 */
public record FloorTerms(double share, Duration soundAfter) {}
