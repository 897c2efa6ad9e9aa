package org.auburnhoist.load;

import java.time.Duration;
import java.util.List;

/**
 * An experiment on a local fleet.
 *
 * @param name name of the experiment in its report
 * @param deployment {@code starglass} or {@code rosewood}
 * @param hosts number of entry hosts
 * @param settle time between the start of the fleet and the load; when hosts join one after the other, buckets that
 *     change owner lose their levels, and requests of small teams are refused until they have refilled
 * @param duration duration of the load
 * @param seed seed of the arrivals and of the emulated servers
 * @param addressValidity how long callers keep an address answer
 * @param rateShare sent rate as a share of each team's allowed rate
 * @param shares shares of the traffic classes
 * @param faults faults to inject
 * @param expectations bounds on the measures
 */
public record Experiment(
        String name,
        String deployment,
        int hosts,
        Duration settle,
        Duration duration,
        long seed,
        Duration addressValidity,
        double rateShare,
        ClassShares shares,
        List<Fault> faults,
        List<Expectation> expectations) {
    /** Makes defensive copies of the lists. */
    public Experiment {
        faults = List.copyOf(faults);
        expectations = List.copyOf(expectations);
    }

    /** Returns the faults of the given type. */
    public <T extends Fault> List<T> faults(Class<T> kind) {
        return faults.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
