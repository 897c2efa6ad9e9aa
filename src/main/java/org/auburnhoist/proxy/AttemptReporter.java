package org.auburnhoist.proxy;

import org.auburnhoist.core.message.AttemptOutcome;

/** Reports each attempt of a request exactly once, with the latency of its server. Guarded by the exchange's lock. */
final class AttemptReporter {
    private static final long NANOS_PER_MICRO = 1000;

    private final Forwarding forwarding;
    private long startedNanos;
    private long firstByteNanos;
    private boolean responseReceived;
    private boolean lostAfterSending;
    private boolean reported = true;
    private boolean mayHaveRun;

    AttemptReporter(Forwarding forwarding) {
        this.forwarding = forwarding;
    }

    /** Called when an attempt starts on a newly chosen server. */
    void started(long nowNanos) {
        startedNanos = nowNanos;
        responseReceived = false;
        lostAfterSending = false;
        reported = false;
    }

    /** Called when the connection was lost and the attempt continues on a new connection to the same server. */
    void movedToNewConnection(boolean sent) {
        lostAfterSending = sent;
        mayHaveRun |= sent;
    }

    /** Whether the request was written to a server that did not reject it. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Called when the head of the response has been received. */
    void responseReceived(long nowNanos) {
        responseReceived = true;
        firstByteNanos = nowNanos;
    }

    /**
     * Called when the attempt has ended.
     *
     * @param outcome how it ended
     * @param sent whether any byte of the request was written on its last connection
     * @param nowNanos the current time in nanoseconds
     * @return whether another attempt may be made; false if this one was reported before
     */
    boolean ended(AttemptOutcome outcome, boolean sent, long nowNanos) {
        if (reported) {
            return false;
        }
        reported = true;
        mayHaveRun |= sent && outcome != AttemptOutcome.REJECTED && outcome != AttemptOutcome.MISDIRECTED;
        long endNanos = responseReceived ? firstByteNanos : nowNanos;
        long micros = Math.max(0, endNanos - startedNanos) / NANOS_PER_MICRO;
        // A server that received a request and then refuses a new connection may have crashed because of the request.
        AttemptOutcome reportedOutcome =
                lostAfterSending && outcome == AttemptOutcome.CONNECT_FAILED ? AttemptOutcome.CONNECTION_LOST : outcome;
        return forwarding.attemptEnded(reportedOutcome, sent || lostAfterSending, micros, nowNanos);
    }
}
