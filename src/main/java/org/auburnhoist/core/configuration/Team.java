package org.auburnhoist.core.configuration;

/**
 * A customer organisation whose requests share one rate.
 *
 * @param name unique name
 * @param ratePerSecond requests per second over all hosts together
 * @param burst requests that may come at once after a pause, over all hosts together
 * @param weight share in fair queueing relative to other teams
 */
public record Team(String name, double ratePerSecond, int burst, int weight) {}
