package org.auburnhoist.load;

import java.util.List;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.Service;

/**
 * A workload for one service's dispatcher.
 *
 * @param service the service
 * @param trafficClass class of all requests
 * @param baseline whether the baseline dispatcher is used
 * @param hosts number of hosts that request slots
 * @param teamRates requests per second of each team
 * @param meanServiceMillis mean time that a request holds a slot
 * @param backgroundFailureShare share of the requests that fail on healthy servers
 * @param deadlineMillis deadline of each request
 * @param faults faults of the servers
 * @param poison a request that crashes every server that runs it; its rate is 0 if there is none
 * @param seconds length of the run
 * @param seed seed of all random numbers
 */
public record DispatchScenario(
        Service service,
        TrafficClass trafficClass,
        boolean baseline,
        int hosts,
        List<Double> teamRates,
        double meanServiceMillis,
        double backgroundFailureShare,
        long deadlineMillis,
        List<ServerFault> faults,
        Poison poison,
        double seconds,
        long seed) {

    /** Makes defensive copies of the lists. */
    public DispatchScenario {
        teamRates = List.copyOf(teamRates);
        faults = List.copyOf(faults);
    }

    /**
     * A request that crashes every server that runs it.
     *
     * @param ratePerSecond how often its caller sends it
     * @param copies how many times it is sent at once
     * @param restartSeconds how long a crashed server refuses connections
     */
    public record Poison(double ratePerSecond, int copies, double restartSeconds) {
        /** No such request. */
        public static final Poison NONE = new Poison(0, 0, 0);
    }
}
