package org.auburnhoist.cli;

import java.util.List;
import java.util.Set;
import org.auburnhoist.core.configuration.ConfigurationReader;

/** Replaces files of the configuration as a whole. */
final class ApplyCommand implements Command {
    @Override
    public String name() {
        return "apply";
    }

    @Override
    public String summary() {
        return "Replaces each named file as a whole, all in one change, if nobody else changed the configuration.";
    }

    @Override
    public String operands() {
        return "FILE...";
    }

    @Override
    public int minimumOperands() {
        return 1;
    }

    @Override
    public int maximumOperands() {
        return ConfigurationReader.MAXIMUM_FILES;
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
                .map(files -> ConfigurationChange.apply(settings, context, files, Set.of()))
                .getOrElseGet(failure -> failure.report(context));
    }
}
