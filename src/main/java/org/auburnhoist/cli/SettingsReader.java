package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Reads a command's settings from flags and environment, and reports all faults together. */
final class SettingsReader {
    /** Read by the launcher script. */
    private static final String LAUNCHER_VARIABLE = Setting.ENVIRONMENT_PREFIX + "JAVA_OPTIONS";

    private final Command command;
    private final Map<String, String> environment;
    private final List<SettingFinding> findings = new ArrayList<>();
    private final Map<String, Object> values = new HashMap<>();

    private SettingsReader(Command command, Map<String, String> environment) {
        this.command = command;
        this.environment = environment;
    }

    /**
     * Reads the settings of a command.
     *
     * @param command the command
     * @param arguments the command line after the command's name
     * @param environment all environment variables
     * @param knownVariables names of the variables of all commands
     * @return the settings, or all findings
     */
    static Either<List<SettingFinding>, Settings> read(
            Command command, List<String> arguments, Map<String, String> environment, Set<String> knownVariables) {
        return new SettingsReader(command, environment).read(arguments, knownVariables);
    }

    private Either<List<SettingFinding>, Settings> read(List<String> arguments, Set<String> knownVariables) {
        checkVariables(knownVariables);
        List<String> operands = new ArrayList<>();
        try {
            OptionSet options = parser().parse(arguments.toArray(new String[0]));
            command.settings().forEach(setting -> readSetting(setting, options));
            options.nonOptionArguments().forEach(operand -> addOperand(String.valueOf(operand), operands));
            checkOperands(operands);
        } catch (OptionException malformed) {
            findings.add(
                    new SettingFinding("command line", "flags as in --help", String.valueOf(malformed.getMessage())));
        }
        Settings settings = new Settings(values, operands);
        if (findings.isEmpty()) {
            findings.addAll(command.validate(settings));
        }
        return findings.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(findings));
    }

    /** Declares every value as optional, so that the parser does not stop at the first flag without a value. */
    private OptionParser parser() {
        OptionParser parser = new OptionParser(false);
        parser.allowsUnrecognizedOptions();
        for (Setting<?> setting : command.settings()) {
            if (setting.hasValue()) {
                parser.accepts(setting.flag()).withOptionalArg();
            } else {
                parser.accepts(setting.flag());
            }
        }
        return parser;
    }

    private void checkVariables(Set<String> knownVariables) {
        new TreeMap<>(environment).forEach((name, value) -> {
            boolean settingVariable = name.startsWith(Setting.ENVIRONMENT_PREFIX) && !name.equals(LAUNCHER_VARIABLE);
            if (settingVariable && !knownVariables.contains(name)) {
                findings.add(new SettingFinding(name, "the name of a setting", "an unknown variable"));
            }
        });
    }

    private <T> void readSetting(Setting<T> setting, OptionSet options) {
        String place = "--" + setting.flag();
        Optional<T> fromFlag = Optional.empty();
        Set<String> given = given(setting, options);
        if (given.size() > 1) {
            findings.add(new SettingFinding(place, "one value", displayValue(setting, String.join(" and ", given))));
        } else if (options.has(setting.flag())) {
            fromFlag = parse(
                    setting, place, given.isEmpty() ? "" : given.iterator().next());
        }
        String variable = environment.get(setting.variable());
        Optional<T> fromVariable = variable == null ? Optional.empty() : parse(setting, setting.variable(), variable);
        choose(setting, place, fromFlag, fromVariable);
        boolean absent = !options.has(setting.flag()) && variable == null;
        if (absent && setting.required()) {
            String expected = setting.expected() + " (or " + setting.variable() + ")";
            findings.add(new SettingFinding(place, expected, "nothing"));
        }
    }

    private static Set<String> given(Setting<?> setting, OptionSet options) {
        Set<String> given = new LinkedHashSet<>();
        if (!setting.hasValue()) {
            given.add("true");
        }
        options.valuesOf(setting.flag()).forEach(value -> given.add(String.valueOf(value)));
        return given;
    }

    private <T> Optional<T> parse(Setting<T> setting, String place, String text) {
        Optional<T> value = setting.parser().apply(text);
        if (value.isEmpty()) {
            findings.add(new SettingFinding(place, setting.expected(), displayValue(setting, text)));
        }
        return value;
    }

    private static String displayValue(Setting<?> setting, String text) {
        if (text.isEmpty()) {
            return "nothing";
        }
        return setting.confidential() ? "another text (not shown)" : "\"" + text + "\"";
    }

    private <T> void choose(Setting<T> setting, String place, Optional<T> fromFlag, Optional<T> fromVariable) {
        if (fromFlag.isPresent() && fromVariable.isPresent() && !fromFlag.equals(fromVariable)) {
            String expected = "the value of " + setting.variable() + ", or only one of both";
            findings.add(new SettingFinding(place, expected, "another value"));
        }
        fromFlag.or(() -> fromVariable).ifPresent(value -> values.put(setting.flag(), value));
    }

    private void addOperand(String operand, List<String> operands) {
        if (operand.startsWith("-")) {
            findings.add(new SettingFinding(operand, "a flag of " + command.name(), "an unknown flag"));
        } else {
            operands.add(operand);
        }
    }

    private void checkOperands(List<String> operands) {
        int minimum = command.minimumOperands();
        int maximum = command.maximumOperands();
        if (operands.size() < minimum) {
            findings.add(new SettingFinding("arguments", command.operandLabel(), operands.size() + " arguments"));
        }
        for (int index = maximum; index < operands.size(); index++) {
            String expected = maximum == 0 ? "no arguments without a flag" : "at most " + command.operandLabel();
            findings.add(new SettingFinding("argument " + (index + 1), expected, "\"" + operands.get(index) + "\""));
        }
    }
}
