package org.auburnhoist.cli;

import java.util.List;

/**
 * One subcommand. Implementations are stateless and are registered in {@link Commands}.
 */
public interface Command {
    /** The word or words that select the command, such as {@code keys issue}. */
    String name();

    /** What the command does, in one sentence. */
    String summary();

    /** The arguments without a flag, such as {@code FILE...}, or an empty text. */
    default String operandLabel() {
        return "";
    }

    /** Fewest arguments without a flag. */
    default int minimumOperands() {
        return 0;
    }

    /** Most arguments without a flag. */
    default int maximumOperands() {
        return 0;
    }

    /** The settings that the command reads. */
    List<Setting<?>> settings();

    /** Faults of settings that are valid one by one but not together. */
    default List<SettingFinding> validate(Settings settings) {
        return List.of();
    }

    /**
     * Runs the command.
     *
     * @param settings the settings, all valid
     * @param context what the command may use of the process
     * @return the exit status
     */
    ExitCode run(Settings settings, CommandContext context);
}
