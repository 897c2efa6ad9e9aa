package org.auburnhoist.cli;

import java.util.List;
import java.util.Set;

/** Replaces files of the configuration as a whole. */
final class ApplyCommand implements FilesCommand {
    @Override
    public String name() {
        return "apply";
    }

    @Override
    public String summary() {
        return "Replaces each named file as a whole, all in one change, if nobody else changed the configuration.";
    }

    @Override
    public List<Setting<?>> settings() {
        return List.of(
                CommonSettings.STORE.asRequired(),
                CommonSettings.STORE_TIMEOUT,
                CommonSettings.EXPECT_VERSION,
                CommonSettings.OPERATOR,
                CommonSettings.WAIT);
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        return LocalFiles.read(context, settings.operands())
                .map(files -> ConfigurationUpdater.apply(settings, context, files, Set.of()))
                .getOrElseGet(failure -> failure.report(context));
    }
}
