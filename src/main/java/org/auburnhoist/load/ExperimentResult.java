package org.auburnhoist.load;

import java.util.List;
import java.util.Map;

/**
 * The result of an experiment. Lists by second begin at the start of the load.
 *
 * @param name name of the experiment
 * @param deployment name of the example deployment
 * @param hosts number of entry hosts
 * @param seconds duration of the load
 * @param seed seed of the load
 * @param totals figures of the whole load
 * @param classes latencies by traffic class
 * @param teams goodput and refusals by team
 * @param faults the faults that were injected
 * @param healthChanges health changes of the servers
 * @param samples figures of the process, one for each second
 * @param checks the expectations with their measured values
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
     * Figures of the whole load. The CPU usage is that of the whole process: load generator, hosts and emulators.
     *
     * @param attemptsUnreached attempts for which no connection was established
     * @param attemptsCut attempts that were sent but got no complete answer
     * @param notSent requests that the load generator did not send because too many were in progress
     * @param unfinished requests that were still in progress when the result was created
     * @param storeCalls store calls by kind
     * @param controlBytesPerHostSecond average control traffic of a host in bytes per second under load
     * @param idleControlBytesPerHostSecond the same before the load
     * @param membersAtEnd maximum number of members that a fresh host knows at the end
     * @param restarted hosts that were restarted by a planned restart
     * @param removals hosts that were removed by the others and logged their removal
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

    /** Latency of a traffic class in milliseconds, measured from the scheduled arrival. */
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
     * Figures of one team.
     *
     * @param withinRate attempts that a single token bucket for the whole fleet would admit
     * @param shortfall how many fewer attempts the fleet let through
     * @param overRate maximum number of admissions beyond rate and burst in any window
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

    /** A health change of a server. */
    public record HealthLine(double second, String server, String trafficClass, String change, String reason) {}

    /** Figures of the process in one second. */
    public record Sample(double second, double cpuCores, double controlBytesPerHost, long storeCalls) {}

    /** An expectation with the measured value, which is NaN if the expected event did not occur. */
    public record Check(String measure, boolean lowerBound, double bound, double value, boolean met) {}
}
