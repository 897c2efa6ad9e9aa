package org.auburnhoist.load;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.auburnhoist.core.configuration.Finding;
import org.auburnhoist.emulator.GrayMode;
import org.jspecify.annotations.Nullable;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.Node;

/**
 * Parses an experiment from YAML, or reports all errors with their line and column.
 *
 * <pre>{@code
 * Either<List<Finding>, Experiment> experiment = ExperimentFile.read("quiet.yaml", text);
 * }</pre>
 */
public final class ExperimentFile {
    /** The example deployments whose configurations are bundled. */
    public static final List<String> DEPLOYMENTS = List.of("starglass", "rosewood");

    private static final Duration MAX_DURATION = Duration.ofMinutes(30);
    private static final Duration MAX_ANSWER_DELAY = Duration.ofSeconds(60);
    private static final int MAX_HOSTS = 40;
    private static final int MAX_BOUND = 1_000_000_000;
    private static final List<String> FAULT_KINDS =
            List.of("gray", "surge", "store-away", "restart-hosts", "kill-host", "withdraw-key");
    private static final List<String> MODES =
            List.of("fail-share", "slow-tail", "late-answer", "truncate-body", "never-answer");

    private final ExperimentFields root;

    private ExperimentFile(ExperimentFields root) {
        this.root = root;
    }

    /**
     * Parses an experiment file.
     *
     * @param name the file's name, for the findings
     * @param text its content
     */
    public static Either<List<Finding>, Experiment> read(String name, String text) {
        List<Finding> findings = new ArrayList<>();
        Experiment experiment = null;
        try {
            LoadSettings settings = LoadSettings.builder().setLabel(name).build();
            Optional<Node> document = new Compose(settings).composeString(text);
            if (document.isEmpty()) {
                findings.add(new Finding(name, 0, 0, "", "an experiment", "nothing"));
            } else {
                experiment = new ExperimentFile(new ExperimentFields(name, "", document.get(), findings)).experiment();
            }
        } catch (MarkedYamlEngineException invalid) {
            Optional<Mark> mark = invalid.getProblemMark();
            int line = mark.map(present -> present.getLine() + 1).orElse(0);
            int column = mark.map(present -> present.getColumn() + 1).orElse(0);
            String problem = String.valueOf(invalid.getProblem());
            findings.add(new Finding(name, line, column, "", "well-formed YAML", problem));
        } catch (YamlEngineException invalid) {
            findings.add(new Finding(name, 0, 0, "", "one document of YAML", String.valueOf(invalid.getMessage())));
        }
        findings.sort(Comparator.comparingInt(Finding::line).thenComparingInt(Finding::column));
        return result(experiment, findings);
    }

    private static Either<List<Finding>, Experiment> result(@Nullable Experiment experiment, List<Finding> findings) {
        return experiment == null || !findings.isEmpty()
                ? Either.left(List.copyOf(findings))
                : Either.right(experiment);
    }

    private Experiment experiment() {
        String name = root.text("name", "a name", List.of());
        String deployment = root.text("deployment", "one of " + String.join(", ", DEPLOYMENTS), DEPLOYMENTS);
        int hosts = root.integer("hosts", 1, MAX_HOSTS);
        Duration settle = root.duration("settle", MAX_DURATION);
        Duration duration = root.duration("duration", MAX_DURATION);
        int seed = root.integer("seed", 0, Integer.MAX_VALUE);
        Duration validity = root.duration("address-validity", MAX_DURATION);
        ExperimentFields load = root.mapping("load");
        double rateShare = load.number("rate-share", 0.001, 100);
        ClassShares shares = shares(load);
        load.reportUnknown();
        List<Fault> faults = new ArrayList<>();
        for (ExperimentFields fields : root.list("faults")) {
            Fault fault = fault(fields, hosts);
            if (fault != null) {
                faults.add(fault);
            }
            fields.reportUnknown();
        }
        List<Expectation> expectations = expectations(root.mapping("expect"));
        root.reportUnknown();
        return new Experiment(
                name, deployment, hosts, settle, duration, seed, validity, rateShare, shares, faults, expectations);
    }

    private static ClassShares shares(ExperimentFields load) {
        double lookup = load.number("lookup", 0, 1);
        double booking = load.number("booking", 0, 1);
        double download = load.number("download", 0, 1);
        if (Math.abs(lookup + booking + download - 1) > 1e-6) {
            load.reportContradiction("download", "shares of lookup, booking and download that add up to 1");
        }
        return new ClassShares(lookup, booking, download);
    }

    private static @Nullable Fault fault(ExperimentFields fields, int hosts) {
        Duration at = fields.duration("at", MAX_DURATION);
        String kind = fields.text("kind", "one of " + String.join(", ", FAULT_KINDS), FAULT_KINDS);
        return switch (kind) {
            case "gray" ->
                new Fault.Gray(at, until(fields, at), fields.text("server", "a server", List.of()), mode(fields));
            case "surge" -> {
                Duration until = until(fields, at);
                yield new Fault.TeamSurge(
                        at, until, fields.text("team", "a team", List.of()), fields.number("factor", 0.1, 100));
            }
            case "store-away" -> new Fault.StoreUnavailable(at, until(fields, at));
            case "restart-hosts" -> new Fault.RestartHosts(at, fields.integer("count", 1, hosts));
            case "kill-host" -> new Fault.KillHost(at, fields.integer("host", 1, hosts));
            case "withdraw-key" -> new Fault.WithdrawKey(at, fields.text("key", "a key id", List.of()));
            default -> null;
        };
    }

    private static Duration until(ExperimentFields fields, Duration at) {
        Duration until = fields.duration("until", MAX_DURATION);
        if (until.compareTo(at) <= 0) {
            fields.reportContradiction("until", "a time after the fault's beginning");
        }
        return until;
    }

    private static GrayMode mode(ExperimentFields fields) {
        String mode = fields.text("mode", "one of " + String.join(", ", MODES), MODES);
        double share = fields.number("share", 0, 1);
        return switch (mode) {
            case "fail-share" -> new GrayMode.FailShare(share);
            case "slow-tail" -> new GrayMode.SlowTail(share, fields.duration("extra", MAX_ANSWER_DELAY));
            case "late-answer" -> new GrayMode.LateAnswer(share, fields.duration("extra", MAX_ANSWER_DELAY));
            case "truncate-body" -> new GrayMode.TruncateBody(share);
            case "never-answer" -> new GrayMode.NeverAnswer(share);
            default -> new GrayMode.Healthy();
        };
    }

    private static List<Expectation> expectations(ExperimentFields fields) {
        List<Expectation> expectations = new ArrayList<>();
        Arrays.stream(Expectation.Measure.values())
                .filter(measure -> fields.has(measure.fieldName()))
                .map(measure -> new Expectation(measure, fields.number(measure.fieldName(), 0, MAX_BOUND)))
                .forEach(expectations::add);
        fields.reportUnknown();
        return expectations;
    }
}
