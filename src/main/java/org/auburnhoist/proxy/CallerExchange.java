package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** One request of a caller and its response. */
final class CallerExchange implements AsyncServerExchangeHandler {
    /** Length of a response without a body, as opposed to an empty body. */
    static final long NO_BODY = -2;
    /** Length of a response whose end is not known in advance. */
    static final long CHUNKED = -1;

    /** Maximum bytes of a request body that are read before the first attempt; smaller bodies can be resent. */
    static final int READ_AHEAD_BYTES = 64 * 1024;

    /** Text of a refusal of a stopping host. */
    static final String STOPPING_DETAIL = "This host is stopping; another one takes the request.";

    private final CallerConnection connection;
    private final ProxyServer server;
    private final BodyPipe requestBody = new BodyPipe(READ_AHEAD_BYTES);
    private final long startedNanos;
    private final BodyProgress bodyProgress;
    private volatile @Nullable ForwardedExchange forwarded;
    private volatile @Nullable BodySource responseBody;
    private @Nullable ResponseChannel responseChannel;
    private volatile @Nullable RequestHead head;
    /** A response that waits for the responses to earlier requests. */
    private @Nullable PendingResponse pendingResponse;
    /** An exchange that waits until earlier requests have been answered. */
    private @Nullable ForwardedExchange pendingForwarding;

    private volatile long lastWriteNanos;
    private boolean bodyFailed;
    private boolean committed;
    private volatile boolean written;
    private boolean closeAfterResponse;
    private boolean disconnected;

    /** The head of a response with the source of its body. */
    private record PendingResponse(BasicHttpResponse response, long length, BodySource body) {}

    CallerExchange(CallerConnection connection) {
        this.connection = connection;
        this.server = connection.server();
        this.startedNanos = server.now();
        this.bodyProgress = new BodyProgress(startedNanos);
        this.lastWriteNanos = startedNanos;
    }

    @Override
    public void handleRequest(
            HttpRequest request, @Nullable EntityDetails entity, ResponseChannel channel, HttpContext context) {
        connection.readPauser().resume();
        connection.exchangeStarted(this);
        server.exchangeStarted();
        responseChannel = channel;
        if (entity == null) {
            bodyProgress.completed(startedNanos);
            requestBody.end();
        }
        if (request instanceof RejectedRequest rejected) {
            connection.endAfterRunning();
            refuse(rejected.refusal(), rejected.detail(), -1, List.of());
            return;
        }
        RequestHead received = RequestHead.of(server.nextRequestId(), request, entity, connection.session());
        head = received;
        if (server.isRefusing()) {
            connection.endAfterRunning();
            logRefusedLate(received);
            hostStopped();
            return;
        }
        if (closeRequested()) {
            connection.endAfterRunning();
        }
        if (received.contentLength() > server.settings().maxBodyBytes) {
            refuseTooLarge();
            return;
        }
        try {
            server.policy(connection.session().getLocalAddress())
                    .admit(received, server.now())
                    .whenComplete(this::admitted);
        } catch (RuntimeException | Error cause) {
            admitted(null, cause);
        }
    }

    private void logRefusedLate(RequestHead received) {
        Event.named("request")
                .with("id", received.requestId())
                .with("path", received.path())
                .with("status", server.settings().wireRules.status(Refusal.HOST_STOPPING))
                .with("refusal", Refusal.HOST_STOPPING.code())
                .with("outcome", Refusal.HOST_STOPPING.outcome().headerValue())
                .log();
    }

    private void admitted(@Nullable Admission admission, @Nullable Throwable failure) {
        if (admission instanceof Admission.Refused refused) {
            refuse(refused.refusal(), refused.detail(), refused.retryAfterMillis(), refused.headers());
        } else if (admission instanceof Admission.Answered answered) {
            respond(answered.answer());
        } else if (admission instanceof Admission.Forwarded forwarding && head != null) {
            forward(head, forwarding.forwarding());
        } else {
            server.logFailure("admission-failed", failure);
            refuse(Refusal.HOST_ISOLATED, "The request could not be decided.", -1, List.of());
        }
    }

    private void forward(RequestHead received, Forwarding forwarding) {
        ForwardedExchange started = new ForwardedExchange(server, this, received, forwarding);
        boolean alreadyDisconnected;
        boolean alreadyFailed;
        boolean held;
        synchronized (this) {
            forwarded = started;
            alreadyDisconnected = disconnected;
            alreadyFailed = committed || bodyFailed;
            held = !alreadyDisconnected
                    && !alreadyFailed
                    && !mayRunPipelined(received, forwarding)
                    && !connection.isFirst(this);
            pendingForwarding = held ? started : null;
        }
        if (held) {
            return;
        }
        startForwarding(started);
        if (alreadyDisconnected || alreadyFailed) {
            started.callerDisconnected();
        }
    }

    /**
     * Whether a request may be forwarded before earlier ones have been answered. A response that ends the connection
     * tells the caller that no later request was read, so a request that must not run twice may not run before it.
     * Large responses would occupy their servers while they wait, and an interim response must not precede the earlier
     * responses.
     */
    private static boolean mayRunPipelined(RequestHead received, Forwarding forwarding) {
        return forwarding.trafficClass() == TrafficClass.LOOKUP && !received.expectsContinue();
    }

    private void startForwarding(ForwardedExchange started) {
        RequestHead received = head;
        if (received != null && received.expectsContinue()) {
            sendContinue();
        }
        started.start();
    }

    /** Called when all earlier requests on the connection have been answered. */
    void becameFirst() {
        PendingResponse pending;
        ForwardedExchange forwarding;
        synchronized (this) {
            pending = pendingResponse;
            pendingResponse = null;
            forwarding = disconnected ? null : pendingForwarding;
            pendingForwarding = null;
            if (pending != null && !disconnected) {
                sendResponse(pending);
            }
        }
        if (forwarding != null) {
            startForwarding(forwarding);
        }
    }

    private synchronized void sendContinue() {
        if (bodyProgress.isComplete() || committed || disconnected || responseChannel == null) {
            return;
        }
        try {
            responseChannel.sendInformation(new BasicHttpResponse(100), null);
        } catch (HttpException | IOException cause) {
            connection.abort();
        }
    }

    BodyPipe requestBody() {
        return requestBody;
    }

    boolean isBodyComplete() {
        return bodyProgress.isComplete();
    }

    /**
     * Responds with a refusal.
     *
     * @return whether it is sent, which it is not once a response has started or the caller has disconnected
     */
    boolean refuse(Refusal refusal, String detail, long retryAfterMillis, List<Map.Entry<String, String>> headers) {
        return respond(RefusalResponses.build(refusal, detail, retryAfterMillis, server.settings().wireRules, headers));
    }

    private boolean respond(RecordedResponse recorded) {
        boolean headOnly = head != null && head.method().equals("HEAD");
        boolean withoutBody = headOnly || recorded.status() == 204 || recorded.status() == 304;
        return commit(
                recorded.status(),
                HeaderRules.withoutFraming(recorded.headers()),
                withoutBody ? NO_BODY : recorded.body().length,
                new BufferedBody(recorded.body()));
    }

    /**
     * Starts the response.
     *
     * @param length length of the body in bytes, or {@link #CHUNKED} or {@link #NO_BODY}
     * @return whether this is the first response and the caller is still connected
     */
    boolean commit(int status, List<Map.Entry<String, String>> headers, long length, BodySource body) {
        BasicHttpResponse response = new BasicHttpResponse(status);
        headers.forEach(header -> response.addHeader(header.getKey(), header.getValue()));
        if (head != null) {
            response.setHeader(server.settings().wireRules.requestIdHeader(), head.requestId());
        }
        if (length >= 0) {
            response.setHeader("Content-Length", Long.toString(length));
        } else if (length == CHUNKED) {
            response.setHeader("Transfer-Encoding", "chunked");
        }
        synchronized (this) {
            if (committed || disconnected || responseChannel == null) {
                return false;
            }
            committed = true;
            PendingResponse pending = new PendingResponse(response, length, body);
            if (connection.isFirst(this)) {
                sendResponse(pending);
            } else {
                pendingResponse = pending;
            }
        }
        if (forwarded == null) {
            discardRequestBody();
        }
        return true;
    }

    /** Called with the lock held, when all earlier responses have been sent. */
    private void sendResponse(PendingResponse pending) {
        ResponseChannel channel = responseChannel;
        if (channel == null) {
            return;
        }
        boolean ends = !bodyProgress.isComplete() || server.isStopping() || connection.isEnding();
        if (ends && connection.endAfter(this)) {
            pending.response().setHeader("Connection", "close");
            closeAfterResponse = true;
        }
        lastWriteNanos = server.now();
        boolean withBody = pending.length() > 0 || pending.length() == CHUNKED;
        responseBody = withBody ? pending.body() : null;
        try {
            EntityDetails details = withBody ? new BasicEntityDetails(pending.length(), null) : null;
            channel.sendResponse(pending.response(), details, null);
            if (!withBody) {
                markWritten();
            }
        } catch (HttpException | IOException cause) {
            connection.abort();
        }
    }

    private boolean closeRequested() {
        return head != null && HeaderRules.hasToken(head.headers(), "Connection", "close");
    }

    void discardRequestBody() {
        try {
            requestBody.discard();
        } catch (IOException cause) {
            connection.abort();
        }
    }

    /** Aborts the caller's connection, so that an incomplete response does not look complete. */
    void abort() {
        connection.abort();
    }

    /** Whether the end of the response has been passed on; blocks while another thread starts the response. */
    synchronized boolean isWritten() {
        return written;
    }

    /** Describes the request; empty if its response is complete or its head was invalid. */
    Optional<UnfinishedRequest> unfinished(long now) {
        RequestHead received = head;
        if (received == null || isWritten()) {
            return Optional.empty();
        }
        ForwardedExchange current = forwarded;
        return Optional.of(bodyProgress.describe(received, current != null && current.isSent(), now));
    }

    private void markWritten() {
        synchronized (this) {
            if (written) {
                return;
            }
            written = true;
            if (closeAfterResponse) {
                connection.startClosing();
            }
        }
        connection.responseEnded(this);
    }

    /** Called when the whole response has been written to the socket. */
    void responseFlushed() {
        ForwardedExchange current = forwarded;
        if (current != null) {
            current.delivered();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        requestBody.capacityExhausted(connection.readPauser().pauseUntilUpdated(channel));
        notifyBodyProgress();
    }

    @Override
    public void consume(ByteBuffer source) {
        long received = bodyProgress.received(source.remaining(), server.now());
        if (received > server.settings().maxBodyBytes) {
            source.position(source.limit());
            failBody(Refusal.REQUEST_TOO_LARGE, "The body of the request is too large.");
            return;
        }
        RequestHead current = head;
        if (current != null && received == current.contentLength() && refusedLate()) {
            source.position(source.limit());
            return;
        }
        requestBody.append(source);
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) {
        bodyProgress.completed(server.now());
        // With an announced length, the last byte is the end for a server, and has been decided about.
        boolean decided = head != null && head.contentLength() >= 0;
        if (trailers == CallerBodyDecoder.MALFORMED) {
            connection.endAfterRunning();
            failBody(Refusal.MALFORMED_REQUEST, "The body of the request is malformed.");
        } else if (!bodyFailed && (decided || !refusedLate())) {
            requestBody.end();
            notifyBodyProgress();
        }
    }

    /** Called before the end of the body is passed on, with which a server would begin to work. */
    private boolean refusedLate() {
        ForwardedExchange current = forwarded;
        return current != null && current.refusedLate();
    }

    private void notifyBodyProgress() {
        ForwardedExchange current = forwarded;
        if (current != null) {
            current.checkRequestBody();
        }
    }

    /** Answers the request, unless a response has started, because the host stops. */
    void hostStopped() {
        ForwardedExchange current = forwarded;
        if (current != null) {
            current.hostStopped();
        } else {
            refuse(Refusal.HOST_STOPPING, STOPPING_DETAIL, 0, List.of());
        }
    }

    private void refuseTooLarge() {
        refuse(Refusal.REQUEST_TOO_LARGE, "The body of the request is too large.", -1, List.of());
    }

    private void failBody(Refusal refusal, String detail) {
        ForwardedExchange current;
        synchronized (this) {
            if (bodyFailed) {
                return;
            }
            bodyFailed = true;
            current = forwarded;
        }
        discardRequestBody();
        if (current != null) {
            current.requestBodyFailed(refusal, detail);
        } else {
            refuse(refusal, detail, -1, List.of());
        }
    }

    @Override
    public int available() {
        BodySource body = responseBody;
        return body == null || written ? 0 : body.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        BodySource body = responseBody;
        if (body == null || written) {
            return;
        }
        int before = body.available();
        boolean ended = body.produce(channel);
        if (before != body.available()) {
            lastWriteNanos = server.now();
        }
        if (ended) {
            markWritten();
        }
    }

    /** Applies the timeouts to the request body, the caller's reading and the upstream's response. */
    void checkTimeouts(long now) {
        long bodyLimit = server.settings().bodyTimeout.toNanos();
        ForwardedExchange current = forwarded;
        boolean streaming = current != null && current.isReadAheadComplete();
        long bodySince = streaming ? bodyProgress.lastReceivedNanos() : startedNanos;
        boolean waitsForBody;
        synchronized (this) {
            waitsForBody = !bodyProgress.isComplete() && !written && !requestBody.isFull();
        }
        if (waitsForBody && now - bodySince > bodyLimit) {
            failBody(Refusal.REQUEST_TIMEOUT, "The body of the request did not arrive in time.");
        }
        BodySource body = responseBody;
        if (body == null || written || body.available() == 0) {
            lastWriteNanos = now;
        } else if (now - lastWriteNanos > server.settings().answerIdleTimeout.toNanos()) {
            abort();
        }
        if (current != null) {
            current.checkTimeouts(now);
        }
    }

    @Override
    public void failed(Exception cause) {
        connection.callerDisconnected();
    }

    /** Called when the caller can no longer receive anything. */
    void callerDisconnected() {
        ForwardedExchange current;
        synchronized (this) {
            if (disconnected) {
                return;
            }
            disconnected = true;
            current = forwarded;
        }
        if (current != null) {
            current.callerDisconnected();
        }
    }

    @Override
    public void releaseResources() {
        if (!isWritten()) {
            connection.callerDisconnected();
        }
        connection.exchangeEnded(this);
    }
}
