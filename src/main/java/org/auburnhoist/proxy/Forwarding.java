package org.auburnhoist.proxy;

import java.util.concurrent.CompletionStage;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.message.ServerNotice;
import org.jspecify.annotations.Nullable;

/**
 * Controls how one admitted request is forwarded to upstream servers.
 *
 * <p>The proxy calls {@link #nextTarget}, makes one attempt, calls {@link #attemptEnded}, and repeats this while that
 * method requests another attempt and no byte of a response has been sent to the caller. It calls {@link #finished}
 * exactly once.
 */
public interface Forwarding {
    /** Traffic class; a non-idempotent request is never retried once any byte of it was written. */
    TrafficClass trafficClass();

    /**
     * Returns the path with which the request is forwarded.
     *
     * @param received path as the caller sent it
     */
    default String rewritePath(String received) {
        return received;
    }

    /**
     * Called with the request body before the first {@link #nextTarget}, if the whole body is small enough to be
     * buffered.
     *
     * @param body the whole body; must not be changed
     */
    default void requestBodyBuffered(byte[] body) {}

    /** The team for which the request runs, empty if none. */
    default String team() {
        return "";
    }

    /** Whether an attempt needs a connection that no earlier request has used. */
    default boolean needsNewConnection() {
        return !trafficClass().isIdempotent();
    }

    /** Whether an attempt whose reused connection was lost is retried on a new connection to the same server. */
    default boolean retriesOnNewConnection(boolean sent) {
        return true;
    }

    /** Time at which a started response is aborted, or {@link Long#MAX_VALUE} if only its pauses are limited. */
    default long responseDeadlineNanos() {
        return Long.MAX_VALUE;
    }

    /** Called with a server's notice about further requests, before its response is forwarded. */
    default void serverNotice(ServerNotice notice, long nowNanos) {}

    /** Whether a chosen server still accepts the request; called directly before it is sent. */
    default boolean maySend(String server, long nowNanos) {
        return true;
    }

    /** Time by which the first byte of the response must have been received. */
    long deadlineNanos();

    /** Chooses the server for the next attempt; never completes exceptionally. */
    CompletionStage<Target> nextTarget(long nowNanos);

    /**
     * Reports the end of an attempt.
     *
     * @param outcome how it ended
     * @param sent whether any byte of the request was written to the server
     * @param latencyMicros time from the start of the attempt to the first byte of the response or to the failure
     * @param nowNanos the current time in nanoseconds
     * @return whether the proxy should make another attempt, if it still can
     */
    boolean attemptEnded(AttemptOutcome outcome, boolean sent, long latencyMicros, long nowNanos);

    /**
     * Reports the result that was sent to the caller.
     *
     * @param status HTTP status sent to the caller, 0 if the caller had disconnected
     * @param refusal the refusal sent, or null if an upstream's response was forwarded
     * @param recorded the upstream's complete response if the request is not idempotent, else null; its body is kept up
     *     to {@value #RECORDED_BODY_LIMIT} bytes
     * @param complete whether the caller received the whole response
     * @param nowNanos the current time in nanoseconds
     */
    void finished(
            int status,
            @Nullable Refusal refusal,
            @Nullable RecordedResponse recorded,
            boolean complete,
            long nowNanos);

    /** Maximum body size, in bytes, of a recorded response. */
    int RECORDED_BODY_LIMIT = 64 * 1024;

    /** Target of an attempt. */
    sealed interface Target {
        /**
         * A server to try.
         *
         * @param name the server's name
         * @param address its IP address and port
         * @param connectionLimit maximum number of connections that this host may have open to it
         */
        record ServerTarget(String name, String address, int connectionLimit) implements Target {}

        /**
         * No server; the caller gets a refusal.
         *
         * @param refusal the reason
         * @param detail one sentence for the response's body
         * @param retryAfterMillis delay after which the caller should retry, -1 to announce none
         */
        record NoTarget(Refusal refusal, String detail, long retryAfterMillis) implements Target {}
    }
}
