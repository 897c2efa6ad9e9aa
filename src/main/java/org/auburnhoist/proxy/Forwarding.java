package org.auburnhoist.proxy;

import java.util.concurrent.CompletionStage;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.message.ServerNotice;
import org.jspecify.annotations.Nullable;

/**
 * One admitted request on its way to upstream servers.
 *
 * <p>The proxy calls {@link #nextTarget}, makes one attempt, calls {@link #attemptEnded}, and repeats while that method
 * asks for another attempt and no byte of an answer has gone to the caller. It calls {@link #finished} exactly once.
 */
public interface Forwarding {
    /** Kind of work; a request that is not idempotent is never attempted again once any byte of it was written. */
    TrafficClass trafficClass();

    /**
     * Path with which the request is forwarded.
     *
     * @param received path as the caller sent it
     */
    default String rewritePath(String received) {
        return received;
    }

    /**
     * Tells the body before the first {@link #nextTarget}, if the whole body is small enough to be held in memory.
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

    /** Whether an attempt whose reused connection broke is made again on a new one without a new choice. */
    default boolean retriesOnNewConnection(boolean sent) {
        return true;
    }

    /** When a started answer is broken off, or {@link Long#MAX_VALUE} if only its pauses are limited. */
    default long responseDeadlineNanos() {
        return Long.MAX_VALUE;
    }

    /** Takes in what a server said about further requests, before its answer is passed on. */
    default void serverNotice(ServerNotice notice, long nowNanos) {}

    /** Whether a chosen server still wants the request, asked directly before it is sent. */
    default boolean maySend(String server, long nowNanos) {
        return true;
    }

    /** Time until which the first byte of the answer must have come. */
    long deadlineNanos();

    /** Chooses the server for the next attempt; never completes exceptionally. */
    CompletionStage<Target> nextTarget(long nowNanos);

    /**
     * Reports the end of an attempt.
     *
     * @param outcome how it ended
     * @param sent whether any byte of the request was written to the server
     * @param latencyMicros time from the start of the attempt to the first byte of the answer or to the failure
     * @param nowNanos the present time
     * @return whether the proxy should make another attempt, if it still can
     */
    boolean attemptEnded(AttemptOutcome outcome, boolean sent, long latencyMicros, long nowNanos);

    /**
     * Reports what the caller was told.
     *
     * @param status HTTP status sent to the caller, 0 if the caller had left
     * @param refusal the refusal sent, or null if an upstream's answer was passed on
     * @param recorded the upstream's complete answer if the request is not idempotent, else null; its body is kept up
     *     to {@value #RECORDED_BODY_LIMIT} bytes
     * @param complete whether the caller received the whole answer
     * @param nowNanos the present time
     */
    void finished(
            int status,
            @Nullable Refusal refusal,
            @Nullable RecordedResponse recorded,
            boolean complete,
            long nowNanos);

    /** Largest body, in bytes, of a recorded answer. */
    int RECORDED_BODY_LIMIT = 64 * 1024;

    /** Where an attempt goes. */
    sealed interface Target {
        /**
         * A server to try.
         *
         * @param name the server's name
         * @param address its IP address and port
         * @param connectionLimit most connections that this host may have open to it
         */
        record ServerTarget(String name, String address, int connectionLimit) implements Target {}

        /**
         * No server; the caller gets a refusal.
         *
         * @param refusal the reason
         * @param detail one sentence for the answer's body
         * @param retryAfterMillis when the caller should come back, -1 for no advice
         */
        record NoTarget(Refusal refusal, String detail, long retryAfterMillis) implements Target {}
    }
}
