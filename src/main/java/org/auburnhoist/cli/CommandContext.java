package org.auburnhoist.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Clock;
import java.util.random.RandomGenerator;

/**
 * Resources of the process that a command uses.
 *
 * @param out stream for results
 * @param err stream for messages
 * @param workingDirectory directory against which relative file names are resolved
 * @param clock wall clock for the times in the change history
 * @param random generator of cryptographically strong random numbers
 * @param stores opens clients of the platform's store
 */
public record CommandContext(
        PrintStream out,
        PrintStream err,
        Path workingDirectory,
        Clock clock,
        RandomGenerator random,
        StoreFactory stores) {}
