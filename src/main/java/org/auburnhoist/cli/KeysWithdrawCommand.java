package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.auburnhoist.core.configuration.ConfigurationFile;
import org.auburnhoist.core.configuration.KeyFileEditor;

/** Marks a key as withdrawn in a file, and applies the file if a store is given. */
final class KeysWithdrawCommand implements Command {
    private static final Setting<String> KEY = Setting.text(
                    "key",
                    "ID",
                    "id of the key, the part before the dot",
                    KeysIssueCommand.NAME_FORMAT,
                    KeysIssueCommand.NAME_PATTERN)
            .asRequired();
    private static final Setting<Path> FILE =
            Setting.path("file", "file that declares the key").asRequired();

    @Override
    public String name() {
        return "keys withdraw";
    }

    @Override
    public String summary() {
        return "Marks a key as withdrawn in a file, and applies the file at once if --store is given.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(
                KEY,
                FILE,
                CommonSettings.STORE,
                CommonSettings.STORE_TIMEOUT,
                CommonSettings.EXPECT_VERSION,
                CommonSettings.OPERATOR,
                CommonSettings.WAIT);
    }

    @Override
    public List<SettingFinding> validate(Settings settings) {
        boolean storeMissing = settings.find(CommonSettings.EXPECT_VERSION).isPresent()
                && settings.find(CommonSettings.STORE).isEmpty();
        return storeMissing
                ? List.of(new SettingFinding("--expect-version", "--store as well", "no --store"))
                : List.of();
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        return edit(settings, context)
                .map(file -> settings.find(CommonSettings.STORE).isPresent()
                        ? apply(file, settings, context)
                        : warnNotApplied(ExitCode.DONE, context))
                .getOrElseGet(failure -> failure.report(context));
    }

    private static ExitCode apply(ConfigurationFile file, Settings settings, CommandContext context) {
        ExitCode code = ConfigurationUpdater.apply(settings, context, List.of(file), Set.of());
        return code == ExitCode.DONE ? code : warnNotApplied(code, context);
    }

    private static Either<Failure, ConfigurationFile> edit(Settings settings, CommandContext context) {
        Path path = settings.get(FILE);
        return LocalFiles.read(context, path.toString())
                .flatMap(before -> KeyFileEditor.withdraw(before, settings.get(KEY))
                        .mapLeft(ConfigurationUpdater::toFailure)
                        .flatMap(after -> replace(context, path, before, after)));
    }

    private static Either<Failure, ConfigurationFile> replace(
            CommandContext context, Path path, ConfigurationFile before, ConfigurationFile after) {
        boolean unchanged = Arrays.equals(before.content(), after.content());
        Either<Failure, ConfigurationFile> result = unchanged
                ? Either.right(after)
                : LocalFiles.replace(context, path, after.content()).map(written -> after);
        return result.peek(file -> context.out().println(path + ": key marked as withdrawn"));
    }

    private static ExitCode warnNotApplied(ExitCode code, CommandContext context) {
        context.err().println("The file on disk has the change. The key stays valid until the file is applied.");
        return code;
    }
}
