package org.auburnhoist.core.dispatch;

/**
 * How the floor of servers in use is kept at a time.
 *
 * @param needed number of servers without a sign of trouble that must be in use
 * @param inUse number of these that were granted within the last second
 * @param unservedShare share of the requests of the last two seconds that were not served, from 0 to 1
 */
public record FloorStatus(int needed, int inUse, double unservedShare) {}
