package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.auburnhoist.core.membership.MembershipSettings;
import org.auburnhoist.core.membership.Roster;

/** Waits until the hosts have an accepted configuration in force, and reports the result host by host. */
final class RolloutMonitor {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    private final Supplier<Either<Failure, Optional<Roster>>> rosters;
    private final Function<Roster, FleetStatus> fleet;
    private final LongSupplier nanoTime;
    private final Sleeper pause;
    private final PrintStream out;

    /** Lets time pass. */
    interface Sleeper {
        /** Sleeps for the duration. */
        void sleep(Duration duration) throws InterruptedException;
    }

    /**
     * A rollout.
     *
     * @param rosters reads the newest roster; empty if no host has joined
     * @param fleet asks the members
     * @param nanoTime monotonic time
     * @param pause sleeps between two questions
     * @param out progress and result
     */
    RolloutMonitor(
            Supplier<Either<Failure, Optional<Roster>>> rosters,
            Function<Roster, FleetStatus> fleet,
            LongSupplier nanoTime,
            Sleeper pause,
            PrintStream out) {
        this.rosters = rosters;
        this.fleet = fleet;
        this.nanoTime = nanoTime;
        this.pause = pause;
        this.out = out;
    }

    /**
     * Waits until all members have the version in force, or until the longest wait is over, and reports.
     *
     * @param version an accepted version
     * @param longestWait zero asks no host
     */
    void awaitAndReport(long version, Duration longestWait) {
        if (longestWait.isZero()) {
            out.println("the hosts were not asked; see status");
            return;
        }
        long start = nanoTime.getAsLong();
        String progress = "";
        while (true) {
            Either<Failure, Optional<Roster>> roster = rosters.get();
            if (roster.isLeft()) {
                out.println("the hosts were not asked (" + roster.getLeft().message() + "); see status");
                return;
            }
            if (roster.get().isEmpty()) {
                out.println("no host has joined yet");
                return;
            }
            FleetStatus status = fleet.apply(roster.get().get());
            String newer = progress(status, version);
            if (!newer.equals(progress)) {
                out.println(newer);
                progress = newer;
            }
            boolean late = nanoTime.getAsLong() - start >= longestWait.toNanos();
            if (status.allHave(version) || late || !sleep()) {
                printResult(status, version);
                return;
            }
        }
    }

    private boolean sleep() {
        try {
            pause.sleep(POLL_INTERVAL);
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static String progress(FleetStatus status, long version) {
        return "in force on " + status.countWith(version) + " of "
                + status.reports().size() + " hosts";
    }

    private void printResult(FleetStatus status, long version) {
        print("in force", status, report -> report.configurationVersion() >= version);
        print("not yet in force", status, report -> report.reachable() && report.configurationVersion() < version);
        print("did not answer", status, report -> !report.reachable());
        if (!status.allHave(version)) {
            out.println(promise(status, version));
        }
    }

    private void print(String title, FleetStatus status, Predicate<FleetStatus.Report> chosen) {
        List<FleetStatus.Report> reports =
                status.reports().stream().filter(chosen).toList();
        if (!reports.isEmpty()) {
            out.println(title + ": "
                    + reports.stream()
                            .map(report -> report.member().id().toString())
                            .collect(Collectors.joining(", ")));
        }
    }

    private static String promise(FleetStatus status, long version) {
        long limit = MembershipSettings.STANDARD.freshnessLimit().toSeconds();
        boolean settled = status.reports().stream().anyMatch(report -> report.settledVersion() >= version);
        return settled
                ? "Version " + version + " is settled. A host that does not have it stops serving within " + limit
                        + " s, until it has it."
                : "Version " + version + " is accepted and stays, but no host that answered knows it to be settled. "
                        + "Until then a host that does not have it may serve by an older version; after that it stops "
                        + "within " + limit + " s, until it has it.";
    }
}
