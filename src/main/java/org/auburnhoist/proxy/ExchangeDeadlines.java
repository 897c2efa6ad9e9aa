package org.auburnhoist.proxy;

/** Deadlines of one forwarded request and of its response. Guarded by the exchange's lock. */
final class ExchangeDeadlines {
    private final Forwarding forwarding;
    private final long idleLimitNanos;
    private long lastResponseNanos;
    private boolean resuming;

    ExchangeDeadlines(Forwarding forwarding, ProxySettings settings) {
        this.forwarding = forwarding;
        this.idleLimitNanos = settings.answerIdleTimeout.toNanos();
    }

    /** Called when bytes of the response have been received, or cannot be received because the caller reads slowly. */
    void responseReceived(long nowNanos) {
        lastResponseNanos = nowNanos;
    }

    /** Called when the rest of a truncated response is requested from another server. */
    void resumed(long nowNanos) {
        resuming = true;
        lastResponseNanos = nowNanos;
    }

    /** Whether the rest of a truncated response has been requested. */
    boolean isResuming() {
        return resuming;
    }

    /** Time by which the head of the next response must have been received. */
    long deadlineNanos() {
        return resuming ? lastResponseNanos + idleLimitNanos : forwarding.deadlineNanos();
    }

    boolean isInTime(long nowNanos) {
        return nowNanos - deadlineNanos() < 0;
    }

    /** Whether the request and its response end by a time, whatever its server and its caller do. */
    boolean endsBy(long limitNanos) {
        long responseDeadline = forwarding.responseDeadlineNanos();
        return responseDeadline != Long.MAX_VALUE
                && responseDeadline - limitNanos <= 0
                && forwarding.deadlineNanos() - limitNanos <= 0;
    }

    /** Whether the response has paused for too long. */
    boolean isPausedTooLong(long nowNanos) {
        return nowNanos - lastResponseNanos > idleLimitNanos;
    }

    boolean isPastResponseDeadline(long nowNanos) {
        long limit = forwarding.responseDeadlineNanos();
        return limit != Long.MAX_VALUE && nowNanos - limit > 0;
    }
}
