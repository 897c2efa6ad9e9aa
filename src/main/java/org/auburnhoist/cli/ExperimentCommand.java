package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.load.Experiment;
import org.auburnhoist.load.ExperimentFile;
import org.auburnhoist.load.ExperimentReport;
import org.auburnhoist.load.ExperimentResult;
import org.auburnhoist.load.ExperimentRunner;

/** Runs experiments on fleets in this process. */
final class ExperimentCommand implements Command {
    private static final int MAX_FILES = 32;

    private static final Setting<Path> OUTPUT =
            Setting.path("output", "directory for a JSON and an HTML file of each experiment; must exist");

    private static final Setting<Boolean> LOG =
            Setting.flag("log", "whether the hosts write their log to standard error");

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public String summary() {
        return "Runs experiments with load and faults on fleets in this process and checks their expectations.";
    }

    @Override
    public String operandLabel() {
        return "FILE...";
    }

    @Override
    public int minimumOperands() {
        return 1;
    }

    @Override
    public int maximumOperands() {
        return MAX_FILES;
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(OUTPUT, LOG);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        return read(settings, context)
                .map(experiments -> runAll(experiments, settings, context))
                .getOrElseGet(failure -> failure.report(context));
    }

    private static Either<Failure, List<Experiment>> read(Settings settings, CommandContext context) {
        List<Experiment> experiments = new ArrayList<>();
        for (String operand : settings.operands()) {
            Either<Failure, Experiment> experiment =
                    LocalFiles.read(context, operand).flatMap(ExperimentCommand::parse);
            if (experiment.isLeft()) {
                return Either.left(experiment.getLeft());
            }
            experiments.add(experiment.get());
        }
        return Either.right(experiments);
    }

    private static Either<Failure, Experiment> parse(ConfigurationFile file) {
        return ExperimentFile.read(file.name(), new String(file.content(), StandardCharsets.UTF_8))
                .mapLeft(ConfigurationUpdater::toFailure);
    }

    private static ExitCode runAll(List<Experiment> experiments, Settings settings, CommandContext context) {
        ExitCode code = ExitCode.DONE;
        try {
            for (Experiment experiment : experiments) {
                ExperimentResult result = ExperimentRunner.run(
                        experiment, settings.get(LOG), line -> context.out().println(line));
                context.out().println(ExperimentReport.summary(result));
                context.out().flush();
                write(result, settings, context);
                code = result.passed() ? code : ExitCode.REFUSED;
            }
            return code;
        } catch (IOException | IllegalArgumentException cause) {
            context.err().println("could not run: " + cause.getMessage());
            return ExitCode.REFUSED;
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            return ExitCode.REFUSED;
        }
    }

    private static void write(ExperimentResult result, Settings settings, CommandContext context) throws IOException {
        if (settings.find(OUTPUT).isPresent()) {
            Path directory = context.workingDirectory().resolve(settings.get(OUTPUT));
            Files.writeString(directory.resolve(result.name() + ".json"), ExperimentReport.json(result));
            Files.writeString(directory.resolve(result.name() + ".html"), ExperimentReport.html(result));
        }
    }
}
