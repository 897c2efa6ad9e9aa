package org.auburnhoist.load;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.auburnhoist.load.ExperimentResult.Check;
import org.auburnhoist.load.ExperimentResult.HealthLine;
import org.auburnhoist.load.ExperimentResult.TeamFigures;
import org.auburnhoist.load.ExperimentResult.Totals;

/** Computes the measures of an experiment and checks its expectations. */
final class ExperimentMeasures {
    private static final String EJECTED = "EJECTED";
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENT = 100;

    /** An ejection this long after the end of a server's fault is still attributed to the fault. */
    private static final Duration EJECTION_GRACE = Duration.ofSeconds(5);

    private final Experiment experiment;
    private final Totals totals;
    private final Collection<TeamFigures> teams;
    private final List<HealthLine> changes;
    private final double withdrawalSeconds;

    ExperimentMeasures(
            Experiment experiment,
            Totals totals,
            Collection<TeamFigures> teams,
            List<HealthLine> changes,
            double withdrawalSeconds) {
        this.experiment = experiment;
        this.totals = totals;
        this.teams = teams;
        this.changes = changes;
        this.withdrawalSeconds = withdrawalSeconds;
    }

    List<Check> checks() {
        return experiment.expectations().stream().map(this::check).toList();
    }

    private Check check(Expectation expectation) {
        Expectation.Measure measure = expectation.measure();
        double value = value(measure);
        return new Check(
                measure.fieldName(), measure.isLowerBound(), expectation.bound(), value, expectation.isMetBy(value));
    }

    private double value(Expectation.Measure measure) {
        return switch (measure) {
            case DUPLICATES -> totals.duplicates();
            case LEAKED_KEYS -> totals.leakedKeys();
            case INCOMPLETE_ANSWERS -> totals.incomplete();
            case CROSSED_ANSWERS -> totals.crossed();
            case OVER_RATE_ADMISSIONS ->
                teams.stream().mapToLong(TeamFigures::overRate).sum();
            case CUT_REQUESTS -> totals.attemptsCut();
            case REFUSALS_WITHIN_RATE_PERCENT -> worstRefusals();
            case FAILED_ANSWERS_PERCENT -> PERCENT * failed() / Math.max(1, totals.offered());
            case DETECTION_SECONDS -> detectionSeconds();
            case FALSE_EJECTIONS -> falseEjections();
            case WITHDRAWAL_SECONDS -> withdrawalSeconds;
            case CONTROL_BYTES_PER_HOST_SECOND -> totals.controlBytesPerHostSecond();
            case WORST_TEAM_GOODPUT_PERCENT -> worstGoodput();
        };
    }

    private double worstRefusals() {
        return teams.stream()
                .filter(team -> team.withinRate() > 0)
                .mapToDouble(team -> PERCENT * team.shortfall() / team.withinRate())
                .max()
                .orElse(0);
    }

    private long failed() {
        long gatewayFailures = teams.stream()
                .flatMap(team -> team.refusals().entrySet().stream())
                .filter(entry ->
                        entry.getKey().startsWith("upstream-") || entry.getKey().startsWith("operation-"))
                .mapToLong(entry -> entry.getValue())
                .sum();
        return gatewayFailures + totals.upstreamErrors() + totals.noAnswer() + totals.incomplete() + totals.crossed();
    }

    private double worstGoodput() {
        Set<String> surging = experiment.faults(Fault.TeamSurge.class).stream()
                .map(Fault.TeamSurge::team)
                .collect(Collectors.toSet());
        return teams.stream()
                .filter(team -> !surging.contains(team.team()) && team.offered() > 0)
                .mapToDouble(team -> PERCENT * team.good() / team.offered())
                .min()
                .orElse(Double.NaN);
    }

    /** Returns the maximum, over all gray faults, of the time to the first ejection; NaN if one was not detected. */
    private double detectionSeconds() {
        double longest = 0;
        for (Fault.Gray fault : experiment.faults(Fault.Gray.class)) {
            double at = seconds(fault.at());
            double found = changes.stream()
                    .filter(change -> change.change().equals(EJECTED)
                            && change.server().equals(fault.server())
                            && change.second() >= at)
                    .mapToDouble(change -> change.second() - at)
                    .min()
                    .orElse(Double.NaN);
            longest = Math.max(longest, found);
        }
        return longest;
    }

    private double falseEjections() {
        return changes.stream()
                .filter(change -> change.change().equals(EJECTED))
                .filter(change -> experiment.faults(Fault.Gray.class).stream()
                        .noneMatch(fault -> fault.server().equals(change.server())
                                && change.second() >= seconds(fault.at())
                                && change.second() <= seconds(fault.until().plus(EJECTION_GRACE))))
                .count();
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
