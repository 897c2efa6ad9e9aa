package org.auburnhoist.proxy;

import org.auburnhoist.core.message.AttemptOutcome;

/** Reports each attempt of a request once, with the time that its server took. Guarded by the exchange's lock. */
final class AttemptReporter {
    private static final long NANOS_PER_MICRO = 1000;

    private final Forwarding forwarding;
    private long startedNanos;
    private long firstByteNanos;
    private boolean answered;
    private boolean lostAfterSending;
    private boolean reported = true;

    AttemptReporter(Forwarding forwarding) {
        this.forwarding = forwarding;
    }

    /** An attempt begins at a server that was just chosen. */
    void started(long nowNanos) {
        startedNanos = nowNanos;
        answered = false;
        lostAfterSending = false;
        reported = false;
    }

    /** The connection was lost, and the attempt goes on at the same server on a new one. */
    void movedToNewConnection(boolean sent) {
        lostAfterSending = sent;
    }

    /** The head of the answer has come. */
    void answered(long nowNanos) {
        answered = true;
        firstByteNanos = nowNanos;
    }

    /**
     * The attempt has ended.
     *
     * @param outcome how it ended
     * @param sent whether any byte of the request was written on its last connection
     * @param nowNanos the present time
     * @return whether another attempt may be made; false if this one was reported before
     */
    boolean ended(AttemptOutcome outcome, boolean sent, long nowNanos) {
        if (reported) {
            return false;
        }
        reported = true;
        long until = answered ? firstByteNanos : nowNanos;
        long micros = Math.max(0, until - startedNanos) / NANOS_PER_MICRO;
        // A server that takes a request on an open connection and then accepts no other one may have died of it.
        AttemptOutcome told =
                lostAfterSending && outcome == AttemptOutcome.CONNECT_FAILED ? AttemptOutcome.CONNECTION_LOST : outcome;
        return forwarding.attemptEnded(told, sent || lostAfterSending, micros, nowNanos);
    }
}
