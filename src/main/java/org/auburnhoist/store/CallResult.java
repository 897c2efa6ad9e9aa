package org.auburnhoist.store;

import com.fasterxml.jackson.databind.JsonNode;

/** Outcome of one call to the store, as far as the client can tell. */
sealed interface CallResult {
    /** The store executed the call and returned this response body. */
    record Answered(JsonNode body) implements CallResult {}

    /** The store has not executed the call and will not. */
    record NotDone(String reason) implements CallResult {}

    /**
     * The call was sent, or may have been, and no conclusive response was received.
     *
     * @param reason for logs and messages
     * @param connectionBroke whether the connection failed before the time limit
     */
    record Unknown(String reason, boolean connectionBroke) implements CallResult {}
}
