package org.auburnhoist.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against invalid settings that are ignored, or that are reported only one at a time. */
class SettingsReaderTest {
    @TempDir
    private Path directory;

    private CliRunner newRunner() {
        return new CliRunner(directory, new FaultInjectingStore(), 1)
                .withEnvironmentVariable("PATH", "/bin")
                .withEnvironmentVariable("AUBURNHOIST_JAVA_OPTIONS", "-x");
    }

    private static List<String> places(CliRunner cli) {
        return cli.err()
                .lines()
                .filter(line -> line.contains(": expected "))
                .map(line -> line.substring(0, line.indexOf(':')))
                .toList();
    }

    @Test
    void reportsAllFaultsTogetherWithTheirPlaces() {
        CliRunner cli = newRunner()
                .withEnvironmentVariable("AUBURNHOIST_STORE_TIMEOUT", "fast")
                .withEnvironmentVariable("AUBURNHOIST_STOER", "x")
                .withEnvironmentVariable("AUBURNHOIST_OPERATOR", "amina");
        assertEquals(
                ExitCode.USAGE,
                cli.run("apply --store localhost:2379 --expect-version -1 --operator karim --colour a.yaml"));
        assertEquals(
                List.of(
                        "AUBURNHOIST_STOER",
                        "--store",
                        "AUBURNHOIST_STORE_TIMEOUT",
                        "--expect-version",
                        "--operator",
                        "-1",
                        "--colour"),
                places(cli));
    }

    @Test
    void reportsMissingSettingsAndArgumentsTogether() {
        CliRunner cli = newRunner();
        assertEquals(ExitCode.USAGE, cli.run("apply --expect-version 1 --expect-version 2"));
        assertEquals(List.of("--store", "--expect-version", "arguments"), places(cli));
    }

    @Test
    void reportsSettingsThatContradictEachOther() {
        CliRunner cli = newRunner();
        assertEquals(ExitCode.USAGE, cli.run("keys withdraw --key a --file f.yaml --expect-version 3"));
        assertEquals(List.of("--expect-version"), places(cli));
    }

    @Test
    void readsTheEnvironmentLikeFlags() {
        CliRunner cli = newRunner().withEnvironmentVariable("AUBURNHOIST_STORE", "127.0.0.1:2379,[::1]:2379");
        assertEquals(ExitCode.DONE, cli.run("show"), cli.err());
        assertTrue(cli.out().startsWith("version: 0"));
        assertEquals(ExitCode.DONE, cli.run("show --store 127.0.0.1:2379,[::1]:2379"));
    }

    @Test
    void helpAndVersionNeedNoOtherSettings() {
        CliRunner cli = newRunner();
        for (String command : List.of("", "apply ", "keys issue ")) {
            assertEquals(ExitCode.DONE, cli.run(command + "--help"));
            assertTrue(cli.out().contains("Exit codes:"), cli.out());
            assertEquals(ExitCode.DONE, cli.run(command + "--version"));
            assertTrue(cli.out().startsWith("auburnhoist test"), cli.out());
        }
        assertTrue(cli.run("apply --help") == ExitCode.DONE && cli.out().contains("AUBURNHOIST_EXPECT_VERSION"));
    }

    @Test
    void neverShowsAConfidentialValue() {
        Setting<String> secret = Setting.text(
                        "fleet-secret", "TEXT", "secret", "12 letters", Pattern.compile("[a-z]{12}"))
                .asRequired()
                .asConfidential();
        Command command = new OneSetting(secret);
        for (List<String> arguments : List.of(
                List.of("--fleet-secret", "fixture"), List.of("--fleet-secret=fixture", "--fleet-secret=fixtures"))) {
            List<SettingFinding> findings =
                    SettingsReader.read(command, arguments, Map.of(), Set.of()).getLeft();
            assertFalse(findings.toString().contains("fixture"), findings.toString());
        }
    }

    @Test
    void reportsAnUnexpectedExceptionAsFaultAndNotAsRefused() {
        Program program = new Program(List.of(new OneSetting(Setting.flag("quiet", "no output"))), "test");
        CommandContext context = new CommandContext(
                System.out,
                new PrintStream(new ByteArrayOutputStream()),
                directory,
                Clock.systemUTC(),
                new Random(1),
                addresses -> Either.left("none"));
        assertEquals(ExitCode.FAULT, program.run(List.of("one"), Map.of(), context));
    }

    /** A command that fails when it runs. */
    private record OneSetting(Setting<?> setting) implements Command {
        @Override
        public String name() {
            return "one";
        }

        @Override
        public String summary() {
            return "Fails.";
        }

        @Override
        public List<Setting<?>> settings() {
            return List.of(setting);
        }

        @Override
        public ExitCode run(Settings settings, CommandContext context) {
            throw new IllegalStateException("fixture");
        }
    }

    @Test
    void refusesUnknownCommands() {
        CliRunner cli = newRunner();
        for (String line : List.of("", "aply", "keys", "keys isue")) {
            assertEquals(ExitCode.USAGE, cli.run(line));
            assertEquals(List.of("command"), places(cli));
        }
    }
}
