package org.auburnhoist.core.dispatch;

/**
 * The number of servers that the floor requires and the number of those in use.
 *
 * @param needed number of undisturbed servers that must be in use
 * @param inUse number of undisturbed servers that were granted within the last second
 * @param unservedShare share of the requests of the last two seconds that were not served, from 0 to 1
 */
public record FloorStatus(int needed, int inUse, double unservedShare) {}
