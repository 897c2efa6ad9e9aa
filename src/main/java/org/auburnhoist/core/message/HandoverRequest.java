package org.auburnhoist.core.message;

/**
 * Passes what a stopping host owns to its successor.
 *
 * @param kind what the content holds
 * @param content encoded state
 */
@SuppressWarnings("ArrayRecordComponent")
public record HandoverRequest(HandoverKind kind, byte[] content) implements Message {

    /** What is handed over. */
    public enum HandoverKind {
        BUCKET_LEVELS,
        OPERATION_RECORDS
    }
}
