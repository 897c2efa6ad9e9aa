package org.auburnhoist.load;

import java.time.Duration;
import java.util.List;

/**
 * An experiment on a local fleet.
 *
 * @param name name for the report
 * @param deployment {@code starglass} or {@code rosewood}
 * @param hosts number of entry hosts
 * @param settle time between the start of the fleet and the load; hosts that join in a row lose the levels of the
 *     buckets that move, and small teams are refused until these are regained
 * @param duration duration of the load
 * @param seed seed of arrivals and emulated servers
 * @param addressValidity how long callers keep an address answer
 * @param rateShare share of each team's rate that is sent
 * @param shares shares of the classes
 * @param faults faults by time
 * @param expectations bounds
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
    /** Copies the lists. */
    public Experiment {
        faults = List.copyOf(faults);
        expectations = List.copyOf(expectations);
    }

    /** The faults of a kind. */
    public <T extends Fault> List<T> faults(Class<T> kind) {
        return faults.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
