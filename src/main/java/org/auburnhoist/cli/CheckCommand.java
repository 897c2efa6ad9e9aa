package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationReader;
import org.auburnhoist.core.configuration.FleetConfiguration;

/** Checks files without the store. */
final class CheckCommand implements FilesCommand {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String summary() {
        return "Checks a whole configuration offline and reports all findings with their places.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of();
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        return LocalFiles.read(context, settings.operands())
                .flatMap(CheckCommand::check)
                .map(configuration -> report(configuration, context))
                .getOrElseGet(failure -> failure.report(context));
    }

    private static Either<Failure, FleetConfiguration> check(List<ConfigurationFile> files) {
        return ConfigurationReader.read(0, files).mapLeft(ConfigurationUpdater::toFailure);
    }

    private static ExitCode report(FleetConfiguration configuration, CommandContext context) {
        long withdrawn = configuration.keys().values().stream()
                .filter(key -> key.withdrawn())
                .count();
        int servers = configuration.services().values().stream()
                .mapToInt(service -> service.servers().size())
                .sum();
        context.out()
                .printf(
                        "no findings: %d teams, %d keys (%d withdrawn), %d services with %d servers, %d routes%n",
                        configuration.teams().size(),
                        configuration.keys().size(),
                        withdrawn,
                        configuration.services().size(),
                        servers,
                        configuration.routes().size());
        return ExitCode.DONE;
    }
}
