package org.auburnhoist.cli;

import java.util.LinkedHashSet;
import java.util.List;
import org.auburnhoist.core.configuration.ConfigurationReader;

/** Removes files from the configuration. */
final class RemoveCommand implements Command {
    @Override
    public String name() {
        return "remove";
    }

    @Override
    public String summary() {
        return "Removes applied files by name, all in one change; the files on disk stay.";
    }

    @Override
    public String operandLabel() {
        return "FILE-NAME...";
    }

    @Override
    public int minimumOperands() {
        return 1;
    }

    @Override
    public int maximumOperands() {
        return ConfigurationReader.MAX_FILES;
    }

    @Override
    public List<Setting<?>> settings() {
        return new ApplyCommand().settings();
    }

    @Override
    public ExitCode run(Settings settings, CommandContext context) {
        return ConfigurationUpdater.apply(settings, context, List.of(), new LinkedHashSet<>(settings.operands()));
    }
}
