package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.message.ServerNotice;
import org.jspecify.annotations.Nullable;

/**
 * Runs the attempts of one admitted request and forwards the response.
 *
 * <p>All state is guarded by this object's lock. The lock is acquired before those of the caller's exchange, an attempt
 * or the pool, never after them.
 */
final class ForwardedExchange {
    private static final long NANOS_PER_MICRO = 1000;
    /** A server without free slots is expected to have some again after about this time. */
    private static final long REJECTED_RETRY_MILLIS = 200;

    private final ProxyServer server;
    private final CallerExchange caller;
    private final RequestHead head;
    private final Forwarding forwarding;
    private final boolean idempotent;
    private final BodyPipe responseBody = new BodyPipe(UpstreamConnectionFactory.WINDOW_BYTES);
    private final ResponseRecorder responseRecorder = new ResponseRecorder();
    private ForwardingState state = ForwardingState.COLLECTING_BODY;
    private byte @Nullable [] bufferedBody;
    private boolean repeatable;

    private volatile boolean readAheadComplete;
    private @Nullable Future<?> deadlineTimer;
    private Forwarding.Target.@Nullable ServerTarget target;
    private @Nullable UpstreamAttempt attempt;
    private final AttemptReporter reporter;
    private boolean newConnectionTried;
    private final ExchangeDeadlines deadlines;
    private @Nullable ResumableResponse resumable;
    private @Nullable Refusal bodyFailure;
    private String bodyFailureDetail = "";
    private int status;
    private List<Map.Entry<String, String>> responseHeaders = List.of();
    private @Nullable Refusal refusal;
    private @Nullable RecordedResponse recorded;
    private boolean committed;
    private boolean delivered;
    private boolean disconnected;
    private boolean finished;

    ForwardedExchange(ProxyServer server, CallerExchange caller, RequestHead head, Forwarding forwarding) {
        this.server = server;
        this.caller = caller;
        this.head = head;
        this.forwarding = forwarding;
        this.reporter = new AttemptReporter(forwarding);
        this.deadlines = new ExchangeDeadlines(forwarding, server.settings());
        this.idempotent = forwarding.trafficClass().isIdempotent();
        server.forwardingStarted();
    }

    synchronized void start() {
        // The caller may have disconnected, or the body failed, while the request waited for earlier responses.
        if (state == ForwardingState.COLLECTING_BODY) {
            deadlineTimer = server.schedule(this::deadlineReached, forwarding.deadlineNanos() - server.now());
            checkRequestBody();
        }
    }

    /** Whether the request body is no longer being read ahead, but is being sent or was sent. */
    boolean isReadAheadComplete() {
        return readAheadComplete;
    }

    /** Whether any byte of the request may have been written to a server. */
    synchronized boolean isSent() {
        UpstreamAttempt running = attempt;
        return reporter.mayHaveRun() || (running != null && running.isSent());
    }

    /** Starts the first attempt if enough of the request body has been received. */
    synchronized void checkRequestBody() {
        if (state != ForwardingState.COLLECTING_BODY || deadlineTimer == null) {
            return;
        }
        boolean ended = caller.requestBody().isEnded();
        if (!ended && !caller.requestBody().isFull()) {
            return;
        }
        if (refusedLate()) {
            return;
        }
        if (ended) {
            byte[] body = caller.requestBody().drain();
            bufferedBody = body;
            repeatable = idempotent;
            forwarding.requestBodyBuffered(body);
        }
        readAheadComplete = true;
        chooseTarget();
    }

    private void chooseTarget() {
        state = ForwardingState.CHOOSING;
        attempt = null;
        forwarding.nextTarget(server.now()).whenComplete((chosen, failure) -> targetChosen(chosen));
    }

    private synchronized void targetChosen(Forwarding.@Nullable Target chosen) {
        if (state != ForwardingState.CHOOSING) {
            if (chosen instanceof Forwarding.Target.ServerTarget) {
                forwarding.attemptEnded(AttemptOutcome.ABANDONED, false, 0, server.now());
            }
            return;
        }
        boolean late = !deadlines.isInTime(server.now());
        if (chosen instanceof Forwarding.Target.ServerTarget granted) {
            if (!disconnected && bodyFailure == null && !late) {
                target = granted;
                newConnectionTried = false;
                reporter.started(server.now());
                startAttempt(granted, forwarding.needsNewConnection());
                return;
            }
            forwarding.attemptEnded(AttemptOutcome.ABANDONED, false, 0, server.now());
        }
        if (disconnected) {
            done();
        } else if (deadlines.isResuming()) {
            abortResponse();
        } else if (bodyFailure != null) {
            refuse(bodyFailure, bodyFailureDetail, -1);
        } else if (chosen instanceof Forwarding.Target.NoTarget none) {
            refuse(none.refusal(), none.detail(), none.retryAfterMillis());
        } else {
            refuse(Refusal.SERVICE_OVERLOADED, "No server was free before the deadline.", -1);
        }
    }

    private void startAttempt(Forwarding.Target.ServerTarget granted, boolean newConnection) {
        state = ForwardingState.ATTEMPTING;
        byte[] buffered = bufferedBody;
        BodySource body =
                buffered == null ? caller.requestBody() : buffered.length > 0 ? new BufferedBody(buffered) : null;
        BasicHttpRequest request = UpstreamRequests.build(head, forwarding, granted, buffered, server.settings());
        if (deadlines.isResuming() && resumable != null) {
            resumable.addRange(request);
        }
        UpstreamAttempt started =
                new UpstreamAttempt(this, server, granted, newConnection, request, body, deadlines.deadlineNanos());
        attempt = started;
        started.start();
    }

    synchronized void responseHeadReceived(
            UpstreamAttempt source, int code, List<Map.Entry<String, String>> headers, @Nullable EntityDetails entity) {
        if (source != attempt || state != ForwardingState.ATTEMPTING) {
            return;
        }
        ServerNotice notice = server.settings().wireRules.serverNotice(code, headers);
        if (notice.isPresent()) {
            forwarding.serverNotice(notice, server.now());
        }
        if (deadlines.isResuming()) {
            continueResponse(source, code, headers, entity);
            return;
        }
        markResponseReceived();
        status = code;
        responseHeaders = headers;
        AttemptOutcome outcome = server.settings().wireRules.attemptOutcome(code, headers);
        boolean rejected = outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.MISDIRECTED;
        boolean retry = false;
        if (outcome != AttemptOutcome.SUCCESS
                && (rejected ? bufferedBody != null : isRetryable(source))
                && !disconnected) {
            retry = reportAttempt(source, outcome);
        }
        if (retry && deadlines.isInTime(server.now())) {
            source.abandon();
            chooseTarget();
            return;
        }
        if (rejected || !server.settings().wireRules.mayForwardResponse(code, headers)) {
            replaceResponse(source, outcome, rejected);
            return;
        }
        state = ForwardingState.RESPONDING;
        if (forwarding.responseDeadlineNanos() != Long.MAX_VALUE && deadlineTimer != null) {
            deadlineTimer.cancel(false);
            deadlineTimer = server.schedule(
                    () -> checkTimeouts(server.now()),
                    forwarding.responseDeadlineNanos() - server.now() + NANOS_PER_MICRO);
        }
        forwardHead(entity);
    }

    /** Sends a refusal in place of a server's response whose status would mislead the caller. */
    private void replaceResponse(UpstreamAttempt source, AttemptOutcome outcome, boolean rejected) {
        source.abandon();
        reportAttempt(source, outcome);
        if (disconnected) {
            done();
        } else if (rejected) {
            refuse(Refusal.SERVICE_OVERLOADED, "The server did not accept the request.", REJECTED_RETRY_MILLIS);
        } else {
            refuse(Refusal.UPSTREAM_FAILED, "The server failed and did not say whether the request ran.", -1);
        }
    }

    /** Whether the headers of a response match the request. */
    boolean isMatchingResponse(List<Map.Entry<String, String>> headers) {
        return server.settings().wireRules.isResponseTo(head, headers);
    }

    boolean maySend(Forwarding.Target.ServerTarget granted) {
        return forwarding.maySend(granted.name(), server.now());
    }

    private void forwardHead(@Nullable EntityDetails entity) {
        List<Map.Entry<String, String>> callerHeaders =
                server.settings().wireRules.callerResponseHeaders(responseHeaders);
        ResponseFraming framing = ResponseFraming.of(head, status, responseHeaders, callerHeaders, entity);
        responseHeaders = callerHeaders;
        long length = framing.length();
        resumable = repeatable ? ResumableResponse.of(head, status, responseHeaders, length) : null;
        if (length > 0) {
            responseBody.setExpectedLength(length);
        }
        committed = !disconnected && caller.commit(status, framing.headers(), length, responseBody);
        if (!committed) {
            callerDisconnected();
        }
    }

    private void markResponseReceived() {
        long now = server.now();
        deadlines.responseReceived(now);
        reporter.responseReceived(now);
    }

    /** Forwards the remainder of a truncated response, or aborts it if the new response is anything else. */
    private void continueResponse(
            UpstreamAttempt source, int code, List<Map.Entry<String, String>> headers, @Nullable EntityDetails entity) {
        markResponseReceived();
        ResumableResponse started = resumable;
        if (started != null && entity != null && started.isContinuedBy(code, headers, entity.getContentLength())) {
            state = ForwardingState.RESPONDING;
        } else {
            source.abandon();
            reportAttempt(source, AttemptOutcome.ABANDONED);
            abortResponse();
        }
    }

    private void resumeOrAbort(boolean retry) {
        if (retry && resumable != null && !disconnected && !deadlines.isPastResponseDeadline(server.now())) {
            deadlines.resumed(server.now());
            chooseTarget();
        } else {
            abortResponse();
        }
    }

    synchronized void responseDataReceived(UpstreamAttempt source, ByteBuffer data) {
        if (source != attempt || state != ForwardingState.RESPONDING) {
            data.position(data.limit());
            return;
        }
        deadlines.responseReceived(server.now());
        if (!idempotent) {
            responseRecorder.add(data);
        }
        if (resumable != null) {
            resumable.received(data.remaining());
        }
        responseBody.append(data);
    }

    void responseCapacityExhausted(UpstreamAttempt source, CapacityChannel channel) throws IOException {
        responseBody.capacityExhausted(channel);
    }

    synchronized void responseComplete(UpstreamAttempt source) {
        if (source != attempt || state != ForwardingState.RESPONDING) {
            return;
        }
        reportAttempt(source, server.settings().wireRules.attemptOutcome(status, responseHeaders));
        if (!idempotent) {
            recorded = responseRecorder.toRecordedAnswer(status, responseHeaders);
        }
        responseBody.end();
        caller.discardRequestBody();
        done();
    }

    private boolean reportAttempt(UpstreamAttempt source, AttemptOutcome outcome) {
        return reporter.ended(outcome, source.isSent(), server.now());
    }

    private boolean isRetryable(UpstreamAttempt source) {
        return !source.isSent() || repeatable;
    }

    synchronized void attemptFailed(UpstreamAttempt source, AttemptOutcome outcome) {
        if (source != attempt || (state != ForwardingState.ATTEMPTING && state != ForwardingState.RESPONDING)) {
            return;
        }
        if (state == ForwardingState.RESPONDING) {
            resumeOrAbort(reportAttempt(source, AttemptOutcome.TRUNCATED));
            return;
        }
        boolean possible = isRetryable(source) && !disconnected && deadlines.isInTime(server.now());
        if (possible
                && outcome != AttemptOutcome.WITHHELD
                && source.usesReusedConnection()
                && !newConnectionTried
                && target != null
                && forwarding.retriesOnNewConnection(source.isSent())) {
            // The server may have closed the idle connection just before, which indicates no failure of the server.
            newConnectionTried = true;
            reporter.movedToNewConnection(source.isSent());
            startAttempt(target, true);
            return;
        }
        boolean retry = reportAttempt(source, outcome);
        if (possible && retry) {
            chooseTarget();
        } else if (deadlines.isResuming()) {
            abortResponse();
        } else if (reporter.mayHaveRun()) {
            refuse(Refusal.UPSTREAM_FAILED, "The server's connection broke before its answer.", -1);
        } else {
            refuse(Refusal.UPSTREAM_UNREACHABLE, "No connection to a server could be opened.", REJECTED_RETRY_MILLIS);
        }
    }

    /** Aborts the response, so that the caller can recognize it as incomplete. */
    private void abortResponse() {
        disconnected = true;
        caller.abort();
        done();
    }

    private synchronized void deadlineReached() {
        if (state == ForwardingState.COLLECTING_BODY) {
            refuse(Refusal.REQUEST_TIMEOUT, "The body of the request did not arrive before the deadline.", -1);
        } else {
            endAttempt(AttemptOutcome.TIMEOUT, Refusal.SERVICE_OVERLOADED, -1);
        }
    }

    /** Ends the request, of whose body servers lack the end, if the host accepts no more and could end before it. */
    synchronized boolean refusedLate() {
        return server.isRefusing() && !deadlines.endsBy(server.requestsEndNanos()) && hostStopped();
    }

    /**
     * Ends the request, unless a response has started, because the host stops.
     *
     * @return whether the caller got the refusal
     */
    synchronized boolean hostStopped() {
        if (state.isBeforeAttempt() && !deadlines.isResuming()) {
            refuse(Refusal.HOST_STOPPING, CallerExchange.STOPPING_DETAIL, 0);
            return true;
        }
        return endAttempt(AttemptOutcome.ABANDONED, Refusal.HOST_STOPPING, 0);
    }

    private boolean endAttempt(AttemptOutcome outcomeIfSent, Refusal refusalIfNotSent, long retryAfterMillis) {
        if (state != ForwardingState.ATTEMPTING || deadlines.isResuming()) {
            return false;
        }
        abandonAttempt(outcomeIfSent);
        if (reporter.mayHaveRun()) {
            refuse(Refusal.UPSTREAM_TIMEOUT, "The server did not answer in time.", -1);
        } else {
            refuse(refusalIfNotSent, "No connection was free in time.", retryAfterMillis);
        }
        return true;
    }

    /** Checks the idle timeout between bytes of the response; time in which the caller reads slowly does not count. */
    synchronized void checkTimeouts(long now) {
        UpstreamAttempt running = attempt;
        boolean started =
                state == ForwardingState.RESPONDING || (deadlines.isResuming() && state == ForwardingState.ATTEMPTING);
        if (!started || running == null) {
            return;
        }
        if (state == ForwardingState.RESPONDING && responseBody.isFull()) {
            deadlines.responseReceived(now);
        }
        if (deadlines.isPausedTooLong(now) || deadlines.isPastResponseDeadline(now)) {
            running.abandon();
            resumeOrAbort(
                    reportAttempt(running, deadlines.isResuming() ? AttemptOutcome.TIMEOUT : AttemptOutcome.TRUNCATED));
        }
    }

    synchronized void requestBodyFailed(Refusal reason, String detail) {
        bodyFailure = reason;
        bodyFailureDetail = detail;
        if (state == ForwardingState.COLLECTING_BODY) {
            refuse(reason, detail, -1);
        } else if (state == ForwardingState.ATTEMPTING || state == ForwardingState.RESPONDING) {
            boolean responding = state == ForwardingState.RESPONDING;
            abandonAttempt(AttemptOutcome.ABANDONED);
            if (responding) {
                abortResponse();
            } else {
                refuse(reason, detail, -1);
            }
        }
    }

    private void abandonAttempt(AttemptOutcome outcomeIfSent) {
        UpstreamAttempt running = attempt;
        if (running != null) {
            running.abandon();
            reportAttempt(running, running.isSent() ? outcomeIfSent : AttemptOutcome.ABANDONED);
        }
    }

    /** Called when the caller's connection is closed, also when that happens after the response. */
    synchronized void callerDisconnected() {
        if (disconnected || delivered) {
            return;
        }
        disconnected = true;
        discardResponse();
        UpstreamAttempt running = attempt;
        switch (state) {
            case COLLECTING_BODY -> done();
            case ATTEMPTING, RESPONDING -> {
                boolean sentWhole =
                        running != null && running.isSent() && (bufferedBody != null || caller.isBodyComplete());
                if (idempotent || !sentWhole) {
                    abandonAttempt(AttemptOutcome.ABANDONED);
                    done();
                }
            }
            case DONE -> finishOnce();
            default -> {
                // The pending choice of a server completes on its own, and the chosen server is released then.
            }
        }
    }

    private void discardResponse() {
        try {
            responseBody.discard();
        } catch (IOException cause) {
            server.logFailure("discard-failed", cause);
        }
    }

    synchronized void delivered() {
        delivered = true;
        finishOnce();
    }

    private void refuse(Refusal reason, String detail, long retryAfterMillis) {
        Refusal sentRefusal =
                reporter.mayHaveRun() && reason.outcome() == Refusal.Outcome.NOT_RUN ? Refusal.UPSTREAM_FAILED : reason;
        state = ForwardingState.DONE;
        refusal = sentRefusal;
        status = server.settings().wireRules.status(sentRefusal);
        committed = !disconnected && caller.refuse(sentRefusal, detail, retryAfterMillis, List.of());
        disconnected |= !committed;
        caller.discardRequestBody();
        finishOnce();
    }

    private void done() {
        state = ForwardingState.DONE;
        finishOnce();
    }

    private void finishOnce() {
        if (finished || state != ForwardingState.DONE || !(delivered || disconnected)) {
            return;
        }
        finished = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        forwarding.finished(committed ? status : 0, committed ? refusal : null, recorded, delivered, server.now());
        server.forwardingFinished();
    }
}
