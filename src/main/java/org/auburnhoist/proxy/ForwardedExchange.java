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
 * The attempts of one admitted request, and what becomes of its answer.
 *
 * <p>All state is guarded by this object's lock. The lock is taken before those of the caller's exchange, an attempt or
 * the pool, never after them.
 */
final class ForwardedExchange {
    private enum State {
        COLLECTING_BODY,
        CHOOSING,
        ATTEMPTING,
        ANSWERING,
        DONE
    }

    private static final long NANOS_PER_MICRO = 1000;
    /** A server that was full has free slots again after about this time. */
    private static final long REJECTED_RETRY_MILLIS = 200;

    private final ProxyServer server;
    private final CallerExchange caller;
    private final RequestHead head;
    private final Forwarding forwarding;
    private final boolean idempotent;
    private final BodyPipe answerBody = new BodyPipe(UpstreamConnectionFactory.WINDOW_BYTES);
    private final ResponseRecorder record = new ResponseRecorder();

    private State state = State.COLLECTING_BODY;
    private byte @Nullable [] keptBody;
    private volatile boolean bodyTaken;
    private @Nullable Future<?> deadlineTimer;
    private Forwarding.Target.@Nullable ServerTarget target;
    private @Nullable UpstreamAttempt attempt;
    private final AttemptReporter report;
    private boolean freshConnectionTried;
    private boolean everSent;
    private long lastAnswerNanos;
    private @Nullable ResumableResponse resumable;
    private boolean resuming;
    private @Nullable Refusal brokenBody;
    private String brokenBodyDetail = "";

    private int status;
    private List<Map.Entry<String, String>> answerHeaders = List.of();
    private @Nullable Refusal refusal;
    private @Nullable RecordedResponse recorded;
    private boolean committed;
    private boolean delivered;
    private boolean callerGone;
    private boolean finished;

    ForwardedExchange(ProxyServer server, CallerExchange caller, RequestHead head, Forwarding forwarding) {
        this.server = server;
        this.caller = caller;
        this.head = head;
        this.forwarding = forwarding;
        this.report = new AttemptReporter(forwarding);
        this.idempotent = forwarding.trafficClass().isIdempotent();
        server.forwardingStarted();
    }

    synchronized void start() {
        // The caller may have left, or the body broken, while the request waited for earlier answers.
        if (state == State.COLLECTING_BODY) {
            deadlineTimer = server.schedule(this::deadlineReached, forwarding.deadlineNanos() - server.now());
            requestBodyReady();
        }
    }

    /** Whether the request body is being sent or was sent, as opposed to being read ahead. */
    boolean isBodyTaken() {
        return bodyTaken;
    }

    /** Looks whether enough of the body has come for the first attempt. */
    synchronized void requestBodyReady() {
        if (state != State.COLLECTING_BODY || deadlineTimer == null) {
            return;
        }
        if (caller.requestBody().isEnded()) {
            byte[] body = caller.requestBody().takeAll();
            keptBody = body;
            forwarding.requestBodyBuffered(body);
        } else if (!caller.requestBody().isFull()) {
            return;
        }
        bodyTaken = true;
        chooseTarget();
    }

    private void chooseTarget() {
        state = State.CHOOSING;
        attempt = null;
        forwarding.nextTarget(server.now()).whenComplete((chosen, failure) -> targetChosen(chosen));
    }

    private synchronized void targetChosen(Forwarding.@Nullable Target chosen) {
        if (state != State.CHOOSING) {
            return;
        }
        boolean late = !isInTime();
        if (chosen instanceof Forwarding.Target.ServerTarget granted) {
            if (!callerGone && brokenBody == null && !late) {
                target = granted;
                freshConnectionTried = false;
                report.started(server.now());
                startAttempt(granted, forwarding.needsNewConnection());
                return;
            }
            forwarding.attemptEnded(AttemptOutcome.ABANDONED, false, 0, server.now());
        }
        if (callerGone) {
            done();
        } else if (resuming) {
            breakAnswer();
        } else if (brokenBody != null) {
            refuse(brokenBody, brokenBodyDetail, -1);
        } else if (chosen instanceof Forwarding.Target.NoTarget none) {
            refuse(none.refusal(), none.detail(), none.retryAfterMillis());
        } else {
            refuse(Refusal.SERVICE_OVERLOADED, "No server was free before the deadline.", -1);
        }
    }

    private void startAttempt(Forwarding.Target.ServerTarget server, boolean newConnection) {
        state = State.ATTEMPTING;
        byte[] kept = keptBody;
        BodySource body = kept == null ? caller.requestBody() : kept.length > 0 ? new BufferedBody(kept) : null;
        UpstreamAttempt started =
                new UpstreamAttempt(this, this.server, server, newConnection, request(server), body, deadlineNanos());
        attempt = started;
        started.start();
    }

    private BasicHttpRequest request(Forwarding.Target.ServerTarget granted) {
        WireRules rules = server.settings().wireRules;
        BasicHttpRequest request = UpstreamRequests.build(
                head,
                forwarding.rewritePath(head.path()),
                keptBody,
                rules.upstreamRequestHeaders(head, granted, forwarding.team(), server.settings().hostName));
        request.setHeader(rules.requestIdHeader(), head.requestId());
        if (resuming && resumable != null) {
            resumable.addRange(request);
        }
        return request;
    }

    synchronized void answerHead(
            UpstreamAttempt source, int code, List<Map.Entry<String, String>> headers, @Nullable EntityDetails entity) {
        if (source != attempt || state != State.ATTEMPTING) {
            return;
        }
        ServerNotice notice = server.settings().wireRules.serverNotice(code, headers);
        if (notice.isPresent()) {
            forwarding.serverNotice(notice, server.now());
        }
        if (resuming) {
            continueAnswer(source, code, headers, entity);
            return;
        }
        lastAnswerNanos = server.now();
        report.answered(lastAnswerNanos);
        status = code;
        answerHeaders = headers;
        AttemptOutcome outcome = server.settings().wireRules.attemptOutcome(code, headers);
        boolean rejected = outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.MISDIRECTED;
        boolean again = false;
        if (outcome != AttemptOutcome.SUCCESS && (rejected ? keptBody != null : isRepeatable(source)) && !callerGone) {
            again = report(source, outcome);
        }
        everSent |= !rejected;
        if (again && isInTime()) {
            source.abandon();
            chooseTarget();
            return;
        }
        if (rejected || !server.settings().wireRules.mayForwardResponse(code, headers)) {
            replaceAnswer(source, outcome, rejected);
            return;
        }
        state = State.ANSWERING;
        if (forwarding.responseDeadlineNanos() != Long.MAX_VALUE && deadlineTimer != null) {
            deadlineTimer.cancel(false);
            deadlineTimer = server.schedule(
                    () -> checkTime(server.now()), forwarding.responseDeadlineNanos() - server.now() + NANOS_PER_MICRO);
        }
        passOnHead(entity);
    }

    /** Answers in the place of a server whose status would be a false promise to the caller. */
    private void replaceAnswer(UpstreamAttempt source, AttemptOutcome outcome, boolean rejected) {
        source.abandon();
        report(source, outcome);
        if (callerGone) {
            done();
        } else if (rejected) {
            refuse(Refusal.SERVICE_OVERLOADED, "The server did not accept the request.", REJECTED_RETRY_MILLIS);
        } else {
            refuse(Refusal.UPSTREAM_FAILED, "The server failed and did not say whether the request ran.", -1);
        }
    }

    /** Whether the headers of an answer fit the request. */
    boolean isAnswer(List<Map.Entry<String, String>> answerHeaders) {
        return server.settings().wireRules.isResponseTo(head, answerHeaders);
    }

    boolean maySend(Forwarding.Target.ServerTarget granted) {
        return forwarding.maySend(granted.name(), server.now());
    }

    private void passOnHead(@Nullable EntityDetails entity) {
        ResponseFraming framing = ResponseFraming.of(head, status, answerHeaders, entity);
        answerHeaders = server.settings().wireRules.callerResponseHeaders(answerHeaders);
        long length = framing.length();
        resumable = isRepeatableBody() ? ResumableResponse.of(head, status, answerHeaders, length) : null;
        if (length > 0) {
            answerBody.announce(length);
        }
        committed = !callerGone && caller.commit(status, framing.headers(), length, answerBody);
        if (!committed) {
            callerLeft();
        }
    }

    /** Passes on the rest of a truncated answer, or gives up if this is anything else. */
    private void continueAnswer(
            UpstreamAttempt source, int code, List<Map.Entry<String, String>> headers, @Nullable EntityDetails entity) {
        lastAnswerNanos = server.now();
        report.answered(lastAnswerNanos);
        ResumableResponse begun = resumable;
        if (begun != null && entity != null && begun.isContinuedBy(code, headers, entity.getContentLength())) {
            state = State.ANSWERING;
        } else {
            source.abandon();
            report(source, AttemptOutcome.ABANDONED);
            breakAnswer();
        }
    }

    private void resumeOrBreak(boolean again) {
        if (again && resumable != null && !callerGone && !isPastAnswerLimit(server.now())) {
            resuming = true;
            lastAnswerNanos = server.now();
            chooseTarget();
        } else {
            breakAnswer();
        }
    }

    private long deadlineNanos() {
        return resuming ? lastAnswerNanos + server.settings().answerIdleTimeout.toNanos() : forwarding.deadlineNanos();
    }

    private boolean isInTime() {
        return server.now() - deadlineNanos() < 0;
    }

    synchronized void answerData(UpstreamAttempt source, ByteBuffer data) {
        if (source != attempt || state != State.ANSWERING) {
            data.position(data.limit());
            return;
        }
        lastAnswerNanos = server.now();
        if (!idempotent) {
            record.add(data);
        }
        if (resumable != null) {
            resumable.received(data.remaining());
        }
        answerBody.append(data);
    }

    void answerReaderWaits(UpstreamAttempt source, CapacityChannel channel) throws IOException {
        answerBody.readerWaits(channel);
    }

    synchronized void answerComplete(UpstreamAttempt source) {
        if (source != attempt || state != State.ANSWERING) {
            return;
        }
        report(source, server.settings().wireRules.attemptOutcome(status, answerHeaders));
        if (!idempotent) {
            recorded = record.complete(status, answerHeaders);
        }
        answerBody.end();
        caller.discardRequestBody();
        done();
    }

    private boolean report(UpstreamAttempt source, AttemptOutcome outcome) {
        return report.ended(outcome, source.isSent(), server.now());
    }

    private boolean isRepeatable(UpstreamAttempt source) {
        return !source.isSent() || isRepeatableBody();
    }

    private boolean isRepeatableBody() {
        return idempotent && keptBody != null;
    }

    synchronized void attemptFailed(UpstreamAttempt source, AttemptOutcome outcome) {
        if (source != attempt || (state != State.ATTEMPTING && state != State.ANSWERING)) {
            return;
        }
        everSent |= source.isSent();
        if (state == State.ANSWERING) {
            resumeOrBreak(report(source, AttemptOutcome.TRUNCATED));
            return;
        }
        boolean possible = isRepeatable(source) && !callerGone && isInTime();
        if (possible
                && outcome != AttemptOutcome.WITHHELD
                && source.usesReusedConnection()
                && !freshConnectionTried
                && target != null
                && forwarding.retriesOnNewConnection(source.isSent())) {
            // The server may have closed the idle connection just before; that says nothing about the server.
            freshConnectionTried = true;
            report.movedToNewConnection(source.isSent());
            startAttempt(target, true);
            return;
        }
        boolean again = report(source, outcome);
        if (possible && again) {
            chooseTarget();
        } else if (resuming) {
            breakAnswer();
        } else if (everSent) {
            refuse(Refusal.UPSTREAM_FAILED, "The server's connection broke before its answer.", -1);
        } else {
            refuse(Refusal.UPSTREAM_UNREACHABLE, "No connection to a server could be opened.", REJECTED_RETRY_MILLIS);
        }
    }

    /** Leaves the caller with an answer that is recognisably incomplete. */
    private void breakAnswer() {
        callerGone = true;
        caller.abort();
        done();
    }

    private synchronized void deadlineReached() {
        UpstreamAttempt running = attempt;
        if (state == State.COLLECTING_BODY) {
            refuse(Refusal.REQUEST_TIMEOUT, "The body of the request did not arrive before the deadline.", -1);
        } else if (state == State.ATTEMPTING && running != null && !resuming) {
            running.abandon();
            boolean sent = running.isSent();
            everSent |= sent;
            report(running, sent ? AttemptOutcome.TIMEOUT : AttemptOutcome.ABANDONED);
            if (everSent) {
                refuse(Refusal.UPSTREAM_TIMEOUT, "The server did not answer before the deadline.", -1);
            } else {
                refuse(Refusal.SERVICE_OVERLOADED, "No connection was free before the deadline.", -1);
            }
        }
    }

    /** Checks the idle limit between bytes of the answer; time in which the caller reads slowly does not count. */
    synchronized void checkTime(long now) {
        UpstreamAttempt running = attempt;
        boolean started = state == State.ANSWERING || (resuming && state == State.ATTEMPTING);
        if (!started || running == null) {
            return;
        }
        if (state == State.ANSWERING && answerBody.isFull()) {
            lastAnswerNanos = now;
        }
        boolean pausedTooLong =
                now - lastAnswerNanos > server.settings().answerIdleTimeout.toNanos();
        if (pausedTooLong || isPastAnswerLimit(now)) {
            running.abandon();
            resumeOrBreak(report(running, resuming ? AttemptOutcome.TIMEOUT : AttemptOutcome.TRUNCATED));
        }
    }

    private boolean isPastAnswerLimit(long now) {
        long limit = forwarding.responseDeadlineNanos();
        return limit != Long.MAX_VALUE && now - limit > 0;
    }

    synchronized void requestBodyBroken(Refusal reason, String detail) {
        brokenBody = reason;
        brokenBodyDetail = detail;
        if (state == State.COLLECTING_BODY) {
            refuse(reason, detail, -1);
        } else if (state == State.ATTEMPTING || state == State.ANSWERING) {
            boolean answering = state == State.ANSWERING;
            abandonAttempt();
            if (answering) {
                breakAnswer();
            } else {
                refuse(reason, detail, -1);
            }
        }
    }

    private void abandonAttempt() {
        UpstreamAttempt running = attempt;
        if (running != null) {
            running.abandon();
            everSent |= running.isSent();
            report(running, AttemptOutcome.ABANDONED);
        }
    }

    /** Called when the caller's connection is gone, also when that happens after the answer. */
    synchronized void callerLeft() {
        if (callerGone || delivered) {
            return;
        }
        callerGone = true;
        discardAnswer();
        UpstreamAttempt running = attempt;
        switch (state) {
            case COLLECTING_BODY -> done();
            case ATTEMPTING, ANSWERING -> {
                boolean sentWhole =
                        running != null && running.isSent() && (keptBody != null || caller.isBodyComplete());
                if (idempotent || !sentWhole) {
                    abandonAttempt();
                    done();
                }
            }
            case DONE -> finishOnce();
            default -> {
                // The choice of a server ends by itself and must be given back then.
            }
        }
    }

    private void discardAnswer() {
        try {
            answerBody.discard();
        } catch (IOException cause) {
            server.report("discard-failed", cause);
        }
    }

    synchronized void delivered() {
        delivered = true;
        finishOnce();
    }

    private void refuse(Refusal reason, String detail, long retryAfterMillis) {
        Refusal told = everSent && reason.outcome() == Refusal.Outcome.NOT_RUN ? Refusal.UPSTREAM_FAILED : reason;
        state = State.DONE;
        refusal = told;
        status = server.settings().wireRules.status(told);
        committed = !callerGone && caller.refuse(told, detail, retryAfterMillis, List.of());
        callerGone |= !committed;
        caller.discardRequestBody();
        finishOnce();
    }

    private void done() {
        state = State.DONE;
        finishOnce();
    }

    private void finishOnce() {
        if (finished || state != State.DONE || !(delivered || callerGone)) {
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
