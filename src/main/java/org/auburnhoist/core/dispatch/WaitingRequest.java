package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.SlotRequest;

/**
 * A slot request in the queue.
 *
 * @param request the request
 * @param requestingHost the host that sent the request
 * @param replyToken identifies the request in its decision
 * @param deadlineNanos time after which a grant is no longer useful
 */
record WaitingRequest(SlotRequest request, HostId requestingHost, long replyToken, long deadlineNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time for which the request has waited, in nanoseconds. */
    long waitedNanos(long nowNanos) {
        return nowNanos - deadlineNanos + request.deadlineMillis() * NANOS_PER_MILLI;
    }
}
