package org.auburnhoist.core.operation;

import java.time.Duration;

/**
 * Limits on the operation records that a host holds.
 *
 * @param lifetime how long an id may be used after its issue
 * @param maxRecords maximum number of records per issuer of ids; beyond it the oldest ids expire early
 * @param maxAnswerBytes maximum total size of recorded answers, in bytes; beyond it the oldest answers are reduced to
 *     their status
 */
public record OperationSettings(Duration lifetime, int maxRecords, long maxAnswerBytes) {
    /** Operation lifetime of 1 h, 200,000 records, 32 MiB of recorded answers. */
    public static final OperationSettings DEFAULT =
            new OperationSettings(Duration.ofHours(1), 200_000, 32L * 1024 * 1024);

    /**
     * Validates the limits.
     *
     * @throws IllegalArgumentException if {@code lifetime} is less than a second, {@code maxRecords} is less than 1 or
     *     {@code maxAnswerBytes} is negative
     */
    public OperationSettings {
        if (lifetime.toSeconds() <= 0 || maxRecords <= 0 || maxAnswerBytes < 0) {
            throw new IllegalArgumentException("lifetime, maxRecords: " + lifetime + ", " + maxRecords
                    + ", expected at least 1 second and 1 record, and maxAnswerBytes of at least 0");
        }
    }
}
