package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationHead;

/** Shows the applied configuration. */
final class ShowCommand implements Command {
    @Override
    public String name() {
        return "show";
    }

    @Override
    public String summary() {
        return "Shows the applied version, its files and newest changes, or the text of one applied file.";
    }

    @Override
    public String operandLabel() {
        return "[FILE-NAME]";
    }

    @Override
    public int maximumOperands() {
        return 1;
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(CommonSettings.STORE.asRequired(), CommonSettings.STORE_TIMEOUT);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        return ConfigurationUpdater.withRepository(
                settings,
                context,
                repository -> repository
                        .readHead()
                        .flatMap(stored -> settings.operands().isEmpty()
                                ? Either.right(list(stored.head(), context))
                                : print(stored.head(), settings.operands().get(0), repository, context)));
    }

    private static ExitCode list(ConfigurationHead head, CommandContext context) {
        context.out().println("version: " + head.version());
        context.out().println("files:");
        for (ConfigurationHead.FileEntry file : head.files()) {
            context.out()
                    .printf(
                            "  %s: %d bytes, version %d, by %s at %s, sha256 %s%n",
                            file.name(),
                            file.bytes(),
                            file.version(),
                            file.appliedBy(),
                            file.appliedAt(),
                            file.sha256());
        }
        context.out().println("changes:");
        for (ConfigurationHead.Change change : head.history()) {
            context.out()
                    .printf(
                            "  %d: by %s at %s, %s%n",
                            change.version(), change.appliedBy(), change.appliedAt(), change.summary());
        }
        return ExitCode.DONE;
    }

    private static Either<Failure, ExitCode> print(
            ConfigurationHead head, String name, ConfigurationRepository repository, CommandContext context) {
        return head.file(name)
                .map(repository::readFile)
                .orElseGet(() ->
                        Either.left(new Failure(ExitCode.REFUSED, ConfigurationUpdater.unknownFileMessage(head, name))))
                .map(file -> {
                    context.out().write(file.content(), 0, file.content().length);
                    return ExitCode.DONE;
                });
    }
}
