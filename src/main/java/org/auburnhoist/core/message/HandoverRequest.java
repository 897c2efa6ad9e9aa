package org.auburnhoist.core.message;

/**
 * Hands over state that a stopping host owns to its successor.
 *
 * @param kind type of state in the content
 * @param content encoded state
 */
@SuppressWarnings("ArrayRecordComponent")
public record HandoverRequest(HandoverKind kind, byte[] content) implements Message {

    /** Type of state that is handed over. */
    public enum HandoverKind {
        BUCKET_LEVELS,
        OPERATION_RECORDS
    }
}
