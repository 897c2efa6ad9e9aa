package org.auburnhoist.cli;

/**
 * Why a command did not do its task.
 *
 * @param code the exit status
 * @param message for the operator; may have several lines
 */
record Failure(ExitCode code, String message) {
    /** Prints the message and gives the exit status. */
    ExitCode report(CommandContext context) {
        context.err().println(message);
        return code;
    }
}
