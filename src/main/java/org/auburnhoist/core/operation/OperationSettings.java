package org.auburnhoist.core.operation;

import java.time.Duration;

/**
 * Limits of an operation's home.
 *
 * @param lifetime how long an id may be used after its issue
 * @param maxRecords most operations remembered; beyond it the oldest ids expire early
 * @param maxAnswerBytes most bytes of recorded answers; beyond it the oldest answers keep only their status
 */
public record OperationSettings(Duration lifetime, int maxRecords, long maxAnswerBytes) {
    /** Operation lifetime of 1 h, 200,000 records, 32 MiB of recorded answers. */
    public static final OperationSettings DEFAULT =
            new OperationSettings(Duration.ofHours(1), 200_000, 32L * 1024 * 1024);

    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public OperationSettings {
        if (lifetime.toSeconds() <= 0 || maxRecords <= 0 || maxAnswerBytes < 0) {
            throw new IllegalArgumentException("lifetime, maxRecords: " + lifetime + ", " + maxRecords
                    + ", expected a positive number of seconds and records");
        }
    }
}
