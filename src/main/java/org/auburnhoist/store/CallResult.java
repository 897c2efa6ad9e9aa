package org.auburnhoist.store;

import com.fasterxml.jackson.databind.JsonNode;

/** What is known about one call to the store. */
sealed interface CallResult {
    /** The store carried out the call and answered with this body. */
    record Answered(JsonNode body) implements CallResult {}

    /** The store has not carried out the call and will not. */
    record NotDone(String reason) implements CallResult {}

    /**
     * The call was sent, or may have been, and no conclusive answer came.
     *
     * @param reason for logs and messages
     * @param connectionBroke whether the connection failed before the time limit
     */
    record Unknown(String reason, boolean connectionBroke) implements CallResult {}
}
