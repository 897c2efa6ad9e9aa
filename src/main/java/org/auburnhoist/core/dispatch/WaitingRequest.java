package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.SlotRequest;

/**
 * A slot request in the queue.
 *
 * @param request the request
 * @param asking the host that sent it
 * @param replyToken identifies it in its decision
 * @param deadlineNanos when a grant stops being of use
 */
record WaitingRequest(SlotRequest request, HostId asking, long replyToken, long deadlineNanos) {
    private static final long MILLI = 1_000_000L;

    /** For how long it has waited, in nanoseconds. */
    long waitedNanos(long nowNanos) {
        return nowNanos - deadlineNanos + request.deadlineMillis() * MILLI;
    }
}
