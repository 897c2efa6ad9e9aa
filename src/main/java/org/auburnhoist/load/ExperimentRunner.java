package org.auburnhoist.load;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.FleetConfiguration;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.emulator.RunCounts;
import org.auburnhoist.emulator.ServiceTime;
import org.auburnhoist.host.EntryHost;
import org.auburnhoist.load.RequestResult.Ending;

/**
 * Runs an experiment on a local fleet.
 *
 * <pre>{@code
 * ExperimentResult result = ExperimentRunner.run(experiment, System.out::println);
 * }</pre>
 */
public final class ExperimentRunner {
    private static final ServiceTime SERVICE_TIME = new ServiceTime(Duration.ofMillis(20), 0.3);
    private static final Duration READY_LIMIT = Duration.ofSeconds(90);
    private static final Duration IDLE_TIME = Duration.ofSeconds(3);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_MILLI = 1e3;

    private final Experiment experiment;
    private final Consumer<String> progress;
    private final LocalFleet fleet;
    private final HealthLogHandler healthLog;
    private final List<TeamLoad> teams;
    private final LoadLog log;
    private long startNanos;

    private ExperimentRunner(
            Experiment experiment, Consumer<String> progress, LocalFleet fleet, HealthLogHandler healthLog) {
        this.experiment = experiment;
        this.progress = progress;
        this.fleet = fleet;
        this.healthLog = healthLog;
        this.teams = TeamLoad.of(fleet.configuration(), experiment.rateShare());
        this.log = new LoadLog(teams, Math.toIntExact(experiment.duration().toSeconds()));
    }

    /**
     * Starts a fleet, runs the experiment and closes the fleet.
     *
     * @param experiment the experiment
     * @param progress receives one line for each step
     * @throws IOException if the fleet cannot be started
     * @throws IllegalArgumentException if the experiment names a server, team or key that the deployment lacks
     */
    public static ExperimentResult run(Experiment experiment, Consumer<String> progress)
            throws IOException, InterruptedException {
        return run(experiment, false, progress);
    }

    /**
     * Starts a fleet, runs the experiment and closes the fleet.
     *
     * @param experiment the experiment
     * @param logged whether the events of the hosts are written to the log
     * @param progress receives one line for each step
     * @throws IOException if the fleet cannot be started
     */
    public static ExperimentResult run(Experiment experiment, boolean logged, Consumer<String> progress)
            throws IOException, InterruptedException {
        LocalFleet.Options options = new LocalFleet.Options(
                experiment.hosts(), 0, SERVICE_TIME, experiment.addressValidity(), experiment.seed());
        try (HealthLogHandler healthLog = new HealthLogHandler(logged);
                LocalFleet fleet = LocalFleet.start(ExampleConfiguration.files(experiment.deployment()), options)) {
            checkNames(experiment, fleet.configuration());
            if (!fleet.awaitReady(READY_LIMIT)) {
                throw new IOException("the hosts did not become ready within " + READY_LIMIT.toSeconds() + " s");
            }
            progress.accept(experiment.name() + ": " + experiment.hosts() + " hosts are ready");
            return new ExperimentRunner(experiment, progress, fleet, healthLog).run();
        }
    }

    private static void checkNames(Experiment experiment, FleetConfiguration configuration) {
        for (Fault fault : experiment.faults()) {
            if (fault instanceof Fault.Gray gray) {
                boolean known = configuration.services().values().stream()
                        .flatMap(service -> service.servers().stream())
                        .anyMatch(server -> server.name().equals(gray.server()));
                require(known, "server", gray.server());
            } else if (fault instanceof Fault.TeamSurge surge) {
                require(configuration.teams().containsKey(surge.team()), "team", surge.team());
            } else if (fault instanceof Fault.WithdrawKey withdraw) {
                require(configuration.keys().containsKey(withdraw.key()), "key", withdraw.key());
            }
        }
    }

    private static void require(boolean known, String kind, String name) {
        if (!known) {
            throw new IllegalArgumentException(kind + ": expected one of the deployment, got " + name);
        }
    }

    private ExperimentResult run() throws InterruptedException {
        Thread.sleep(experiment.settle().toMillis());
        double idleBytes = idleControlBytes();
        List<LoadRequest> requests = new Arrivals(
                        experiment.shares(), surges(), experiment.duration().toNanos())
                .draw(teams, experiment.seed());
        progress.accept(experiment.name() + ": load of " + requests.size() + " requests in "
                + experiment.duration().toSeconds() + " s");
        try (FleetSampler sampler = new FleetSampler(fleet);
                FaultInjector injector = new FaultInjector(fleet, line -> progress.accept(at() + line));
                LoadGenerator generator = new LoadGenerator(teams, log, AnswerCheck::check, this::seeds)) {
            startNanos = System.nanoTime();
            injector.schedule(experiment.faults());
            generator.run(requests);
            sampler.end();
            return result(sampler, injector, generator.inProgress(), idleBytes);
        }
    }

    private double idleControlBytes() throws InterruptedException {
        try (FleetSampler sampler = new FleetSampler(fleet)) {
            Thread.sleep(IDLE_TIME.toMillis());
            return sampler.controlBytesPerHostSecond();
        }
    }

    private List<String> seeds() {
        return fleet.hosts().stream()
                .map(host -> "127.0.0.1:" + host.callerAddress().getPort())
                .toList();
    }

    private List<Surge> surges() {
        return experiment.faults(Fault.TeamSurge.class).stream()
                .map(surge -> new Surge(
                        surge.team(),
                        surge.factor(),
                        surge.at().toNanos(),
                        surge.until().toNanos()))
                .toList();
    }

    private String at() {
        return String.format(Locale.ROOT, "%s: %.1f s: ", experiment.name(), seconds(System.nanoTime()));
    }

    private double seconds(long nanos) {
        return (nanos - startNanos) / NANOS_PER_SECOND;
    }

    private ExperimentResult result(FleetSampler sampler, FaultInjector injector, int unfinished, double idleBytes) {
        List<ExperimentResult.TeamFigures> teamFigures =
                log.teams().stream().map(ExperimentRunner::figures).toList();
        List<ExperimentResult.HealthLine> changes = healthLog.changes().stream()
                .map(change -> new ExperimentResult.HealthLine(
                        seconds(change.nanos()),
                        change.server(),
                        change.trafficClass(),
                        change.kind(),
                        change.reason()))
                .toList();
        ExperimentResult.Totals totals = totals(sampler, injector, unfinished, idleBytes);
        return new ExperimentResult(
                experiment.name(),
                experiment.deployment(),
                experiment.hosts(),
                experiment.duration().toSeconds(),
                experiment.seed(),
                totals,
                classFigures(),
                teamFigures,
                experiment.faults().stream().map(this::line).toList(),
                changes,
                sampler.samples(),
                new ExperimentMeasures(experiment, totals, teamFigures, changes, withdrawalSeconds(injector)).checks());
    }

    private ExperimentResult.Totals totals(
            FleetSampler sampler, FaultInjector injector, int unfinished, double idleBytes) {
        RunCounts runCounts = fleet.upstreams().runCounts();
        return new ExperimentResult.Totals(
                log.teams().stream().mapToLong(TeamLog::offered).sum(),
                log.count(Ending.GOOD),
                log.count(Ending.REFUSED),
                log.count(Ending.UPSTREAM_ERROR),
                log.count(Ending.NO_ANSWER),
                log.count(Ending.INCOMPLETE),
                log.count(Ending.CROSSED),
                log.count(AttemptResult.UNREACHED),
                log.count(AttemptResult.CUT),
                log.notSentCount(),
                unfinished,
                runCounts.totalRuns(),
                runCounts.duplicates().size(),
                runCounts.authorizationHeaders(),
                sampler.cpuCores(),
                sampler.storeCalls(),
                sampler.controlBytesPerHostSecond(),
                idleBytes,
                membersAtEnd(),
                injector.restarted(),
                healthLog.count("host-removed"));
    }

    private int membersAtEnd() {
        return fleet.hosts().stream()
                .map(EntryHost::snapshot)
                .filter(snapshot -> snapshot.isFresh(System.nanoTime()))
                .mapToInt(snapshot -> {
                    Roster roster = snapshot.roster();
                    return roster == null ? 0 : roster.members().size();
                })
                .max()
                .orElse(0);
    }

    /** Returns the seconds from a key's accepted withdrawal to sending the last request that ran; NaN if unused. */
    private double withdrawalSeconds(FaultInjector injector) {
        double longest = 0;
        for (Fault.WithdrawKey fault : experiment.faults(Fault.WithdrawKey.class)) {
            Long withdrawn = injector.withdrawnNanos().get(fault.key());
            String team = teams.stream()
                    .filter(load -> load.keyId().equals(fault.key()))
                    .map(TeamLoad::team)
                    .findFirst()
                    .orElse("");
            double seconds = withdrawn == null || team.isEmpty()
                    ? Double.NaN
                    : (log.lastAnsweredNanos(team) - withdrawn) / NANOS_PER_SECOND;
            longest = Math.max(longest, seconds);
        }
        return longest;
    }

    private List<ExperimentResult.ClassFigures> classFigures() {
        List<ExperimentResult.ClassFigures> figures = new ArrayList<>();
        for (TrafficClass trafficClass : TrafficClass.values()) {
            Histogram all = log.latencies(trafficClass);
            List<Histogram> parts = log.latenciesBySecond(trafficClass);
            figures.add(new ExperimentResult.ClassFigures(
                    trafficClass.name().toLowerCase(Locale.ROOT),
                    all.getTotalCount(),
                    millis(all, 50),
                    millis(all, 99),
                    millis(all, 99.9),
                    all.getMaxValue() / MICROS_PER_MILLI,
                    parts.stream().map(part -> millis(part, 50)).toList(),
                    parts.stream().map(part -> millis(part, 99)).toList()));
        }
        return figures;
    }

    private static ExperimentResult.TeamFigures figures(TeamLog team) {
        return new ExperimentResult.TeamFigures(
                team.team().team(),
                team.team().limitPerSecond(),
                team.team().burst(),
                team.offered(),
                team.good(),
                team.refusedRequests(),
                team.withinRate(),
                team.shortfall(),
                team.overRate(),
                team.waited(),
                Arrays.stream(team.offeredBySecond()).boxed().toList(),
                Arrays.stream(team.goodBySecond()).boxed().toList(),
                Arrays.stream(team.refusedBySecond()).boxed().toList());
    }

    private ExperimentResult.FaultLine line(Fault fault) {
        Duration until = experiment.duration();
        String text = fault.toString();
        if (fault instanceof Fault.Gray gray) {
            until = gray.until();
            text = "gray " + gray.server() + " " + gray.mode();
        } else if (fault instanceof Fault.TeamSurge surge) {
            until = surge.until();
            text = surge.team() + " at " + surge.factor() + " times its rate";
        } else if (fault instanceof Fault.StoreUnavailable outage) {
            until = outage.until();
            text = "store away";
        } else if (fault instanceof Fault.RestartHosts restart) {
            text = "planned restart of " + restart.count() + " hosts";
        } else if (fault instanceof Fault.KillHost kill) {
            text = "kill of host " + kill.host();
        } else if (fault instanceof Fault.WithdrawKey withdraw) {
            text = "withdrawal of " + withdraw.key();
        }
        return new ExperimentResult.FaultLine(
                text, fault.at().toMillis() / MICROS_PER_MILLI, until.toMillis() / MICROS_PER_MILLI);
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
