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

    /** The operands (arguments without a flag) as shown in the help text, such as {@code FILE...}; empty if none. */
    default String operandLabel() {
        return "";
    }

    /** Minimum number of operands. */
    default int minimumOperands() {
        return 0;
    }

    /** Maximum number of operands. */
    default int maximumOperands() {
        return 0;
    }

    /** The settings that the command reads. */
    List<Setting<?>> settings();

    /** Reports settings that are valid individually but not in combination. */
    default List<SettingFinding> validate(Settings settings) {
        return List.of();
    }

    /**
     * Runs the command.
     *
     * @param settings the settings, all valid
     * @param context resources of the process that the command may use
     * @return the exit status
     */
    ExitCode run(Settings settings, CommandContext context);
}
