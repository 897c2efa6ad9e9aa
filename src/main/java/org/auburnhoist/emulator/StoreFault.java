package org.auburnhoist.emulator;

import java.time.Duration;

/** A fault that the emulated store injects into calls of one kind. */
public sealed interface StoreFault {
    /** No fault: the call is answered. */
    record None() implements StoreFault {}

    /** The call is read and never answered; it has no effect. */
    record NeverAnswer() implements StoreFault {}

    /**
     * The call is executed after a delay.
     *
     * @param delay time before the call is executed
     */
    record Slow(Duration delay) implements StoreFault {}

    /** The call takes effect, and the connection is closed without a response. */
    record DropResponse() implements StoreFault {}

    /** The call has no effect, and the connection is closed without a response. */
    record DropRequest() implements StoreFault {}

    /** The call has no effect; the response says that permission is denied. */
    record Reject() implements StoreFault {}

    /** The call takes effect; the response says that the request timed out, so the client cannot know the outcome. */
    record TimeOutAfterEffect() implements StoreFault {}
}
