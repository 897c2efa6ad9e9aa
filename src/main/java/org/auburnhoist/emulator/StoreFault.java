package org.auburnhoist.emulator;

import java.time.Duration;

/** A fault of the emulated store, set for one kind of call. */
public sealed interface StoreFault {
    /** Calls are answered. */
    record None() implements StoreFault {}

    /** The call is read and never answered; it does not take effect. */
    record NeverAnswer() implements StoreFault {}

    /**
     * The call is carried out late.
     *
     * @param delay time before the call is carried out
     */
    record Slow(Duration delay) implements StoreFault {}

    /** The call takes effect, and the connection is closed without an answer. */
    record DropResponse() implements StoreFault {}

    /** The call does not take effect, and the connection is closed without an answer. */
    record DropRequest() implements StoreFault {}

    /** The call does not take effect; the answer says that it is not permitted. */
    record Reject() implements StoreFault {}

    /** The call takes effect; the answer says that the store timed out, which leaves the outcome open. */
    record TimeOutAfterEffect() implements StoreFault {}
}
