package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.ConfigurationHead;

/** Compares files on disk with the applied ones. */
final class DiffCommand implements FilesCommand {
    @Override
    public String name() {
        return "diff";
    }

    @Override
    public String summary() {
        return "Shows which lines of the applied files apply would remove (-) and add (+).";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(CommonSettings.STORE.asRequired(), CommonSettings.STORE_TIMEOUT);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        return LocalFiles.read(context, settings.operands())
                .map(files -> ConfigurationUpdater.withRepository(
                        settings,
                        context,
                        repository ->
                                repository.readHead().flatMap(stored -> compare(files, stored, repository, context))))
                .getOrElseGet(failure -> failure.report(context));
    }

    private static Either<Failure, ExitCode> compare(
            List<ConfigurationFile> files,
            StoredHead stored,
            ConfigurationRepository repository,
            CommandContext context) {
        context.out().println("newest version: " + stored.head().version());
        for (ConfigurationFile file : files) {
            Either<Failure, ConfigurationFile> applied = applied(stored.head(), file.name(), repository);
            if (applied.isLeft()) {
                return Either.left(applied.getLeft());
            }
            print(applied.get(), file, stored.head().file(file.name()).isPresent(), context);
        }
        return Either.right(ExitCode.DONE);
    }

    private static Either<Failure, ConfigurationFile> applied(
            ConfigurationHead head, String name, ConfigurationRepository repository) {
        return head.file(name)
                .map(repository::readFile)
                .orElseGet(() -> Either.right(new ConfigurationFile(name, new byte[0])));
    }

    private static void print(
            ConfigurationFile applied, ConfigurationFile local, boolean known, CommandContext context) {
        List<String> differences = LineDifference.between(lines(applied), lines(local));
        String state = !known ? "new file" : differences.isEmpty() ? "no difference" : "differs";
        context.out().println(local.name() + ": " + state);
        differences.forEach(context.out()::println);
    }

    private static List<String> lines(ConfigurationFile file) {
        return new String(file.content(), StandardCharsets.UTF_8).lines().toList();
    }
}
