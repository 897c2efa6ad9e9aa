package org.auburnhoist.peer;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.Message;

/** Result of a call to another host. */
public sealed interface CallResult {
    /**
     * The peer answered.
     *
     * @param from the peer's identity as proved at connection time
     * @param message its answer
     */
    record Answered(HostId from, Message message) implements CallResult {}

    /**
     * The request was not sent; the peer has not acted on it.
     *
     * @param reason for logs
     */
    record NotSent(String reason) implements CallResult {}

    /**
     * The request was sent but no answer came; the peer may have acted on it.
     *
     * @param reason for logs
     */
    record NoAnswer(String reason) implements CallResult {}
}
