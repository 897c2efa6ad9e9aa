package org.auburnhoist.cli;

import java.time.Duration;
import java.util.List;

/** Help for the program and for each command. */
final class HelpText {
    private HelpText() {}

    static String of(List<Command> commands) {
        StringBuilder text = new StringBuilder("Usage: auburnhoist COMMAND [options]\n\nCommands:\n");
        for (Command command : commands) {
            text.append(String.format("  %-15s %s%n", command.name(), command.summary()));
        }
        text.append("\nauburnhoist COMMAND --help describes a command; --version prints the version.\n");
        text.append("Each flag --some-name can be given as environment variable AUBURNHOIST_SOME_NAME.\n");
        return text.append(exitCodes()).toString();
    }

    static String of(Command command) {
        StringBuilder text = new StringBuilder("Usage: auburnhoist ").append(command.name());
        if (!command.operandLabel().isEmpty()) {
            text.append(' ').append(command.operandLabel());
        }
        text.append(" [options]\n\n").append(command.summary()).append("\n\nOptions:\n");
        for (Setting<?> setting : command.settings()) {
            text.append(describe(setting));
        }
        return text.append(exitCodes()).toString();
    }

    private static String describe(Setting<?> setting) {
        String value = setting.hasValue() ? " " + setting.valueName() : "";
        String presence = setting.required()
                ? "; required"
                : setting.defaultValue()
                        .map(present -> "; default " + format(present))
                        .orElse("");
        return String.format(
                "  --%s%s%n      %s: %s (%s%s)%n",
                setting.flag(), value, setting.description(), setting.expected(), setting.variable(), presence);
    }

    /** Durations are shown in the form in which they are entered. */
    private static String format(Object value) {
        return value instanceof Duration duration ? duration.toMillis() + "ms" : String.valueOf(value);
    }

    private static String exitCodes() {
        StringBuilder text = new StringBuilder("\nExit codes:\n");
        for (ExitCode code : ExitCode.values()) {
            text.append(String.format("  %d  %s%n", code.status(), code.meaning()));
        }
        return text.toString();
    }
}
