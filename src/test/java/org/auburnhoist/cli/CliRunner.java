package org.auburnhoist.cli;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.auburnhoist.store.Store;

/** Runs command lines of one operator against a store. */
public final class CliRunner {
    private static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");

    private final Map<String, String> environment = new HashMap<>();
    private final Path directory;
    private final Store store;
    private final Random random;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    /** Creates an operator with a working directory. The seed makes the ids of changes differ between operators. */
    public CliRunner(Path directory, Store store, long seed) {
        this.directory = directory;
        this.store = store;
        this.random = new Random(seed);
    }

    /** Sets an environment variable for the following runs. */
    public CliRunner withEnvironmentVariable(String variable, String value) {
        environment.put(variable, value);
        return this;
    }

    /** Writes a file into the operator's directory. */
    public CliRunner writeFile(String name, String text) {
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve(name), text);
            return this;
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    /** The text of a file in the operator's directory. */
    public String readFile(String name) {
        try {
            return Files.readString(directory.resolve(name));
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    /** Runs a command line whose words are separated by spaces. */
    public ExitCode run(String line) {
        out.reset();
        err.reset();
        CommandContext context = new CommandContext(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                directory,
                Clock.fixed(NOW, ZoneOffset.UTC),
                random,
                addresses -> Either.right(store));
        List<String> words = line.isEmpty() ? List.of() : List.of(line.split(" "));
        return new Program(Commands.all(), "test").run(words, environment, context);
    }

    /** Results of the last run. */
    public String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Messages of the last run. */
    public String err() {
        return err.toString(StandardCharsets.UTF_8);
    }
}
