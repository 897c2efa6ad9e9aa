package org.auburnhoist.load;

import java.util.Locale;

/**
 * Measures in simulated time how a fleet of real freshness tables, roster proposers and rosters adopts a new
 * configuration, loses a data centre, and is partitioned from a region until the partition heals.
 *
 * <p>Arguments: scenario ({@code change}, {@code loss} or {@code partition}), hosts, pull interval in milliseconds,
 * time to read a changed configuration in milliseconds, seed.
 */
public final class ConvergenceExperiment {
    private static final int WARM_UP_MILLIS = 10_000;
    private static final int CHANGE_WARM_UP_MILLIS = 4_000;
    private static final int CHANGE_MILLIS = 15_000;
    private static final int LOSS_MILLIS = 60_000;
    private static final int PARTITION_MILLIS = 120_000;
    private static final int HEALED_MILLIS = 120_000;

    /** Ends a phase early: once the fleet has stayed converged for this long, nothing changes any more. */
    private static final int STABLE_MILLIS = 10_000;

    private ConvergenceExperiment() {}

    /** Runs one scenario and prints what happened. */
    public static void main(String[] arguments) {
        String scenario = arguments.length > 0 ? arguments[0] : "change";
        int hosts = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 890;
        int interval = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 250;
        int readMillis = arguments.length > 3 ? Integer.parseInt(arguments[3]) : 500;
        long seed = arguments.length > 4 ? Long.parseLong(arguments[4]) : 7;
        ConvergenceSimulation fleet = new ConvergenceSimulation(hosts, interval, readMillis, seed);
        System.out.println("scenario " + scenario + ", hosts " + hosts + ", pull interval " + interval + " ms, read "
                + readMillis + " ms, seed " + seed);
        fleet.runUntil(scenario.equals("change") ? CHANGE_WARM_UP_MILLIS : WARM_UP_MILLIS);
        fleet.resetCounts();
        switch (scenario) {
            case "change" -> change(fleet);
            case "loss" -> loss(fleet);
            case "partition" -> partition(fleet);
            default ->
                throw new IllegalArgumentException("scenario: " + scenario + ", expected change, loss or partition");
        }
    }

    private static void change(ConvergenceSimulation fleet) {
        fleet.writeConfiguration();
        int end = CHANGE_WARM_UP_MILLIS;
        while (Double.isNaN(fleet.lastSettledSeconds()) && end < CHANGE_WARM_UP_MILLIS + CHANGE_MILLIS) {
            end += 250;
            fleet.runUntil(end);
        }
        double[] adopted = fleet.adoptionSeconds();
        System.out.printf(
                Locale.ROOT,
                "in force: p50 %.2f s, p99 %.2f s, last %.2f s, hosts %d; settled: first %.2f s, last %.2f%n",
                adopted[adopted.length / 2],
                adopted[adopted.length * 99 / 100],
                adopted[adopted.length - 1],
                adopted.length,
                fleet.firstSettledSeconds(),
                fleet.lastSettledSeconds());
        fleet.printCounts();
    }

    private static void loss(ConvergenceSimulation fleet) {
        fleet.stopDataCentre(3);
        report(fleet, WARM_UP_MILLIS, LOSS_MILLIS);
    }

    private static void partition(ConvergenceSimulation fleet) {
        fleet.setPartitioned(true);
        int healedAt = report(fleet, WARM_UP_MILLIS, PARTITION_MILLIS);
        fleet.setPartitioned(false);
        fleet.resetCounts();
        report(fleet, healedAt, HEALED_MILLIS);
    }

    private static int report(ConvergenceSimulation fleet, int fromMillis, int millis) {
        int convergedAt = -1;
        int end = fromMillis;
        for (int at = 500; at <= millis && (convergedAt < 0 || at - convergedAt <= STABLE_MILLIS); at += 500) {
            end = fromMillis + at;
            fleet.runUntil(end);
            if (!fleet.hasConverged()) {
                convergedAt = -1;
            } else if (convergedAt < 0) {
                convergedAt = at;
            }
            if (at % 5_000 == 0 || at == 2_000) {
                System.out.println("after " + at / 1000 + " s: " + fleet.state());
            }
        }
        System.out.printf(
                Locale.ROOT,
                "calm (every reachable host is a member, is fresh and has the newest roster, which is settled): %s%n",
                convergedAt < 0
                        ? "not within " + millis / 1000 + " s"
                        : String.format(Locale.ROOT, "after %.1f s", convergedAt / 1e3));
        fleet.printCounts();
        return end;
    }
}
