package org.auburnhoist.core.configuration;

/**
 * A customer organisation whose requests share one rate limit.
 *
 * @param name unique name
 * @param ratePerSecond maximum rate in requests per second over all hosts together
 * @param burst maximum number of requests at once after an idle period, over all hosts together
 * @param weight share in fair queueing relative to other teams
 */
public record Team(String name, double ratePerSecond, int burst, int weight) {}
