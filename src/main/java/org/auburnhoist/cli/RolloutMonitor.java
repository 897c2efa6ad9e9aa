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

/** Waits until the hosts have an accepted configuration in force, and reports the result for each host. */
final class RolloutMonitor {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    private final Supplier<Either<Failure, Optional<Roster>>> rosterReader;
    private final Function<Roster, FleetStatus> statusQuery;
    private final LongSupplier nanoTime;
    private final Sleeper sleeper;
    private final PrintStream out;

    /** Suspends the current thread. */
    interface Sleeper {
        /** Sleeps for the duration. */
        void sleep(Duration duration) throws InterruptedException;
    }

    /**
     * Creates a monitor.
     *
     * @param rosterReader reads the newest roster; empty if no host has joined
     * @param statusQuery queries the members
     * @param nanoTime monotonic time
     * @param sleeper sleeps between two queries
     * @param out stream for progress and result
     */
    RolloutMonitor(
            Supplier<Either<Failure, Optional<Roster>>> rosterReader,
            Function<Roster, FleetStatus> statusQuery,
            LongSupplier nanoTime,
            Sleeper sleeper,
            PrintStream out) {
        this.rosterReader = rosterReader;
        this.statusQuery = statusQuery;
        this.nanoTime = nanoTime;
        this.sleeper = sleeper;
        this.out = out;
    }

    /**
     * Waits until all members have the version in force, or until the maximum wait is over, and reports the result.
     *
     * @param version an accepted version
     * @param maxWait maximum wait; if it is zero, no host is queried
     */
    void awaitAndReport(long version, Duration maxWait) {
        if (maxWait.isZero()) {
            out.println("the hosts were not asked; see status");
            return;
        }
        long start = nanoTime.getAsLong();
        String progress = "";
        while (true) {
            Either<Failure, Optional<Roster>> roster = rosterReader.get();
            if (roster.isLeft()) {
                out.println("the hosts were not asked (" + roster.getLeft().message() + "); see status");
                return;
            }
            if (roster.get().isEmpty()) {
                out.println("no host has joined yet");
                return;
            }
            FleetStatus status = statusQuery.apply(roster.get().get());
            String newer = progress(status, version);
            if (!newer.equals(progress)) {
                out.println(newer);
                progress = newer;
            }
            boolean timedOut = nanoTime.getAsLong() - start >= maxWait.toNanos();
            if (status.allHave(version) || timedOut || !sleep()) {
                printResult(status, version);
                return;
            }
        }
    }

    private boolean sleep() {
        try {
            sleeper.sleep(POLL_INTERVAL);
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
            out.println(guaranteeText(status, version));
        }
    }

    private void print(String title, FleetStatus status, Predicate<FleetStatus.Report> filter) {
        List<FleetStatus.Report> reports =
                status.reports().stream().filter(filter).toList();
        if (!reports.isEmpty()) {
            out.println(title + ": "
                    + reports.stream()
                            .map(report -> report.member().id().toString())
                            .collect(Collectors.joining(", ")));
        }
    }

    private static String guaranteeText(FleetStatus status, long version) {
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
