package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Chooses the command of a command line and runs it. */
public final class Program {
    private final List<Command> commands;
    private final String version;

    /**
     * Creates a program.
     *
     * @param commands the commands in the order of the help text
     * @param version shown by {@code --version}
     */
    public Program(List<Command> commands, String version) {
        this.commands = List.copyOf(commands);
        this.version = version;
    }

    /**
     * Runs a command line.
     *
     * @param arguments the command line
     * @param environment all environment variables
     * @param context resources of the process that commands may use
     * @return the exit status
     */
    public ExitCode run(List<String> arguments, Map<String, String> environment, CommandContext context) {
        Optional<Command> selected = select(arguments);
        if (selected.isEmpty()) {
            return runWithoutCommand(arguments, context);
        }
        Command command = selected.get();
        int words = command.name().split(" ").length;
        List<String> rest = arguments.subList(words, arguments.size());
        if (isRequested(rest, "--help")) {
            context.out().print(HelpText.of(command));
            return ExitCode.DONE;
        }
        if (isRequested(rest, "--version")) {
            context.out().println("auburnhoist " + version + ", command " + command.name());
            return ExitCode.DONE;
        }
        Either<List<SettingFinding>, Settings> settings = SettingsReader.read(command, rest, environment, variables());
        if (settings.isLeft()) {
            settings.getLeft().forEach(finding -> context.err().println(finding.describe()));
            context.err().println("See auburnhoist " + command.name() + " --help.");
            return ExitCode.USAGE;
        }
        return runGuarded(command, settings.get(), context);
    }

    /**
     * Reports an unexpected exception as {@link ExitCode#FAULT}. Otherwise the Java virtual machine would exit with
     * status 1, which means that nothing was changed.
     */
    private static ExitCode runGuarded(Command command, Settings settings, CommandContext context) {
        try {
            return command.run(settings, context);
        } catch (RuntimeException fault) {
            context.err().println("fault of the program in " + command.name() + ":");
            fault.printStackTrace(context.err());
            return ExitCode.FAULT;
        }
    }

    private ExitCode runWithoutCommand(List<String> arguments, CommandContext context) {
        if (isRequested(arguments, "--version")) {
            context.out().println("auburnhoist " + version);
            return ExitCode.DONE;
        }
        if (isRequested(arguments, "--help") || arguments.equals(List.of("help"))) {
            context.out().print(HelpText.of(commands));
            return ExitCode.DONE;
        }
        String found = arguments.isEmpty() ? "nothing" : "\"" + arguments.get(0) + "\"";
        String names = commands.stream().map(Command::name).collect(Collectors.joining(", "));
        context.err().println(new SettingFinding("command", "one of " + names, found).describe());
        context.err().println("See auburnhoist --help.");
        return ExitCode.USAGE;
    }

    private Optional<Command> select(List<String> arguments) {
        return commands.stream()
                .filter(command -> {
                    List<String> words = Arrays.asList(command.name().split(" "));
                    return arguments.size() >= words.size()
                            && arguments.subList(0, words.size()).equals(words);
                })
                .findFirst();
    }

    private Set<String> variables() {
        return commands.stream()
                .flatMap(command -> command.settings().stream())
                .map(Setting::variable)
                .collect(Collectors.toSet());
    }

    /** Whether a flag occurs before any {@code --}. */
    private static boolean isRequested(List<String> arguments, String flag) {
        int end = arguments.indexOf("--");
        return arguments.subList(0, end < 0 ? arguments.size() : end).contains(flag);
    }
}
