package org.auburnhoist.cli;

/**
 * The reason why a command did not complete.
 *
 * @param code the exit status
 * @param message for the operator; may have several lines
 */
record Failure(ExitCode code, String message) {
    /** Prints the message and returns the exit status. */
    ExitCode report(CommandContext context) {
        context.err().println(message);
        return code;
    }
}
