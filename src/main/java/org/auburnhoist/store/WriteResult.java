package org.auburnhoist.store;

/** Result of a conditional write. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param revision the key's new modification revision
     */
    record Done(long revision) implements WriteResult {}

    /**
     * The key did not have the expected revision; nothing was written.
     *
     * @param currentRevision the key's revision, 0 if it is absent
     */
    record Conflict(long currentRevision) implements WriteResult {}

    /**
     * The store provably did not execute the request; nothing was written.
     *
     * @param reason for logs and messages
     */
    record NotDone(String reason) implements WriteResult {}

    /**
     * The write may have taken effect.
     *
     * @param reason for logs and messages
     */
    record OutcomeUnknown(String reason) implements WriteResult {}
}
