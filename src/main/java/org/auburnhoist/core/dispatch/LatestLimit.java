package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.message.StatedLimit;

/**
 * The latest limit that a server has stated, as far as the order of its answers can be known.
 *
 * <p>Answers are received in another order than they were sent in. An answer is certainly later than another one if its
 * request was granted after the other answer had been received. Where the order is unknown, the stricter limit applies.
 *
 * @param limit the limit
 * @param receivedNanos when the answer was received
 */
public record LatestLimit(StatedLimit limit, long receivedNanos) {
    /** No answer of the server has been received. */
    public static final LatestLimit UNKNOWN = new LatestLimit(StatedLimit.UNKNOWN, 0);

    /**
     * Returns the latest limit after an answer.
     *
     * @param stated what the answer says
     * @param grantedNanos when the request was granted
     * @param nowNanos when the answer was received
     */
    public LatestLimit after(StatedLimit stated, long grantedNanos, long nowNanos) {
        if (stated.kind() == StatedLimit.Kind.UNKNOWN) {
            return this;
        }
        boolean later = limit.kind() == StatedLimit.Kind.UNKNOWN || grantedNanos - receivedNanos >= 0;
        return later || stated.equals(limit) || stated.isStricterThan(limit) ? new LatestLimit(stated, nowNanos) : this;
    }
}
