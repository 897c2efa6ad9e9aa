package org.auburnhoist.proxy;

import java.util.concurrent.TimeUnit;

/** How much of a request's body has been received, and when. */
final class BodyProgress {
    private final long startedNanos;
    private long receivedBytes;
    private long lastReceivedNanos;
    private boolean complete;
    private long completeNanos;

    /**
     * Creates the progress of a body of which nothing has been received.
     *
     * @param startedNanos when the head was read
     */
    BodyProgress(long startedNanos) {
        this.startedNanos = startedNanos;
        this.lastReceivedNanos = startedNanos;
    }

    /** Counts bytes of the body; returns the number of bytes so far. */
    synchronized long received(int bytes, long nowNanos) {
        receivedBytes += bytes;
        lastReceivedNanos = nowNanos;
        return receivedBytes;
    }

    synchronized void completed(long nowNanos) {
        complete = true;
        completeNanos = nowNanos;
    }

    synchronized boolean isComplete() {
        return complete;
    }

    synchronized long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /** Describes the request that the body belongs to. */
    synchronized UnfinishedRequest describe(RequestHead head, boolean sent, long nowNanos) {
        return new UnfinishedRequest(
                head.requestId(),
                head.path(),
                TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos),
                complete ? TimeUnit.NANOSECONDS.toMillis(nowNanos - completeNanos) : UnfinishedRequest.NOT_WHOLE,
                sent);
    }
}
