package org.auburnhoist.store;

import org.auburnhoist.core.StorePosition;

/** Result of a conditional write. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param position the store's position at this modification of the key
     */
    record Done(StorePosition position) implements WriteResult {}

    /**
     * The key was not as expected; nothing was written.
     *
     * @param currentPosition position of the key's last modification, {@link StorePosition#NONE} if it is absent
     */
    record Conflict(StorePosition currentPosition) implements WriteResult {}

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
