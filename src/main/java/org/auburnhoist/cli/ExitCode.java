package org.auburnhoist.cli;

/** Exit status of the program. */
public enum ExitCode {
    /** The task was done. */
    DONE(0, "done"),
    /** Nothing was changed: findings, a conflict, or a refusal. */
    REFUSED(1, "refused: findings, a conflict, or nothing of that name; nothing was changed"),
    /** The command line or the environment is wrong; nothing was done. */
    USAGE(2, "wrong settings; nothing was done"),
    /** A change may or may not have taken effect. */
    OUTCOME_UNKNOWN(3, "outcome unknown: the change may or may not be in force"),
    /** The store or another service did not answer; nothing was changed. */
    UNAVAILABLE(4, "the store or another service did not answer; nothing was changed"),
    /** The program failed; what it did before is not known. */
    FAULT(5, "fault of the program; what it did before is not known"),
    /** A part of a running host ended or made no progress. */
    PART_STOPPED(6, "a part of a running host has stopped; the last log line names it");

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /** The status of the process. */
    public int status() {
        return status;
    }

    /** One line for the help text. */
    public String meaning() {
        return meaning;
    }
}
