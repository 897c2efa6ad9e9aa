package org.auburnhoist.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Clock;
import java.util.random.RandomGenerator;

/**
 * What a command uses of its process.
 *
 * @param out results
 * @param err messages
 * @param workingDirectory relative file names are resolved against it
 * @param clock wall clock for the record of changes
 * @param random cryptographically strong random numbers
 * @param stores opens the platform's store
 */
public record CommandContext(
        PrintStream out,
        PrintStream err,
        Path workingDirectory,
        Clock clock,
        RandomGenerator random,
        StoreFactory stores) {}
