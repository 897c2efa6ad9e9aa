package org.auburnhoist.load;

import java.util.List;
import java.util.Map;

/**
 * What an experiment measured. Lists by second begin at the start of the load.
 *
 * @param name name of the experiment
 * @param deployment its deployment
 * @param hosts number of entry hosts
 * @param seconds duration of the load
 * @param seed seed of the load
 * @param totals figures of the whole load
 * @param classes latencies
 * @param teams goodput and refusals
 * @param faults the faults that were set
 * @param healthChanges changes in the judgement of servers
 * @param samples figures of the process by second
 * @param checks the expectations
 */
public record ExperimentResult(
        String name,
        String deployment,
        int hosts,
        long seconds,
        long seed,
        Totals totals,
        List<ClassFigures> classes,
        List<TeamFigures> teams,
        List<FaultLine> faults,
        List<HealthLine> healthChanges,
        List<Sample> samples,
        List<Check> checks) {

    /** Whether every expectation was met. */
    public boolean passed() {
        return checks.stream().allMatch(Check::met);
    }

    /**
     * Figures of the whole load. CPU and memory are those of the whole process: load, hosts and emulators.
     *
     * @param attemptsUnreached attempts for which no connection was made
     * @param attemptsCut attempts that were sent and got no whole answer
     * @param notSent requests that the generator did not send, because too many were in progress
     * @param unfinished requests without an end when the result was made
     * @param storeCalls calls to the store by kind
     * @param controlBytesPerHostSecond bytes sent and received between hosts, with load
     * @param idleControlBytesPerHostSecond the same before the load
     * @param membersAtEnd most members that a fresh host knows at the end
     * @param restarted hosts that were restarted as planned
     * @param removals hosts that the others removed and that noticed it
     */
    public record Totals(
            long offered,
            long good,
            long refused,
            long upstreamErrors,
            long noAnswer,
            long incomplete,
            long crossed,
            long attemptsUnreached,
            long attemptsCut,
            long notSent,
            long unfinished,
            long upstreamRuns,
            long duplicates,
            long leakedKeys,
            double cpuCores,
            Map<String, Long> storeCalls,
            double controlBytesPerHostSecond,
            double idleControlBytesPerHostSecond,
            int membersAtEnd,
            int restarted,
            long removals) {}

    /** Latency of a class in milliseconds, from the scheduled arrival. */
    public record ClassFigures(
            String trafficClass,
            long count,
            double p50,
            double p99,
            double p999,
            double max,
            List<Double> p50BySecond,
            List<Double> p99BySecond) {}

    /**
     * What a team got.
     *
     * @param withinRate attempts that one bucket for the whole fleet would admit
     * @param shortfall how many fewer the fleet let through
     * @param overRate most admissions beyond rate and burst in any window
     * @param waited requests that waited for a {@code Retry-After}
     */
    public record TeamFigures(
            String team,
            double ratePerSecond,
            int burst,
            long offered,
            long good,
            Map<String, Long> refusals,
            long withinRate,
            long shortfall,
            long overRate,
            long waited,
            List<Long> offeredBySecond,
            List<Long> goodBySecond,
            List<Long> refusedBySecond) {}

    /** A fault; {@code untilSecond} is the end of the load if the fault has no end of its own. */
    public record FaultLine(String fault, double atSecond, double untilSecond) {}

    /** A change in the judgement of a server. */
    public record HealthLine(double second, String server, String trafficClass, String change, String reason) {}

    /** Figures of one second. */
    public record Sample(double second, double cpuCores, double controlBytesPerHost, long storeCalls) {}

    /** An expectation with what was measured; {@code value} is NaN if the awaited event did not come. */
    public record Check(String measure, boolean lowerBound, double bound, double value, boolean met) {}
}
