package org.auburnhoist.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
import org.jspecify.annotations.Nullable;

/** One request of a caller and its answer. */
final class CallerExchange implements AsyncServerExchangeHandler {
    /** Length of an answer without a body, as opposed to an empty body. */
    static final long NO_BODY = -2;
    /** Length of an answer whose end is not known beforehand. */
    static final long CHUNKED = -1;

    /** Most bytes of a request body that are read before the first attempt; smaller bodies can be sent again. */
    static final int READ_AHEAD_BYTES = 64 * 1024;

    private final CallerConnection connection;
    private final ProxyServer server;
    private final BodyPipe requestBody = new BodyPipe(READ_AHEAD_BYTES);
    private final long startedNanos;
    private volatile @Nullable ForwardedExchange forwarded;
    private volatile @Nullable BodySource answerBody;
    private @Nullable ResponseChannel responses;
    private @Nullable RequestHead head;
    /** An answer that waits for those to earlier requests. */
    private @Nullable PendingResponse heldAnswer;
    /** A forwarding that waits until earlier requests have been answered. */
    private @Nullable ForwardedExchange heldForwarding;

    private long bodyBytes;
    private volatile long lastBodyNanos;
    private volatile long lastWriteNanos;
    private boolean requestComplete;
    private boolean bodyBroken;
    private boolean committed;
    private volatile boolean written;
    private boolean closeAfterAnswer;
    private boolean left;

    /** The head of an answer with the source of its body. */
    private record PendingResponse(BasicHttpResponse response, long length, BodySource body) {}

    CallerExchange(CallerConnection connection) {
        this.connection = connection;
        this.server = connection.server();
        this.startedNanos = server.now();
        this.lastBodyNanos = startedNanos;
        this.lastWriteNanos = startedNanos;
    }

    @Override
    public void handleRequest(
            HttpRequest request, @Nullable EntityDetails entity, ResponseChannel channel, HttpContext context) {
        connection.bodyGate().open();
        connection.exchangeStarted(this);
        server.exchangeStarted();
        responses = channel;
        requestComplete = entity == null;
        if (requestComplete) {
            requestBody.end();
        }
        if (request instanceof RejectedRequest rejected) {
            connection.endAfterRunning();
            refuse(rejected.refusal(), rejected.detail(), -1, List.of());
            return;
        }
        RequestHead received = receivedHead(request, entity);
        head = received;
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

    private RequestHead receivedHead(HttpRequest request, @Nullable EntityDetails entity) {
        String target = request.getPath();
        int mark = target.indexOf('?');
        String remote = connection.session().getRemoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "unknown";
        return new RequestHead(
                server.nextRequestId(),
                request.getMethod(),
                mark < 0 ? target : target.substring(0, mark),
                mark < 0 ? null : target.substring(mark + 1),
                HeaderRules.entries(request.getHeaders()),
                entity == null ? 0 : entity.getContentLength(),
                remote);
    }

    private void admitted(@Nullable Admission admission, @Nullable Throwable failure) {
        if (admission instanceof Admission.Refused refused) {
            refuse(refused.refusal(), refused.detail(), refused.retryAfterMillis(), refused.headers());
        } else if (admission instanceof Admission.Answered answered) {
            answer(answered.answer());
        } else if (admission instanceof Admission.Forwarded forwarding && head != null) {
            forward(head, forwarding.forwarding());
        } else {
            server.report("admission-failed", failure);
            refuse(Refusal.HOST_ISOLATED, "The request could not be decided.", -1, List.of());
        }
    }

    private void forward(RequestHead received, Forwarding forwarding) {
        ForwardedExchange started = new ForwardedExchange(server, this, received, forwarding);
        boolean gone;
        boolean broken;
        boolean held;
        synchronized (this) {
            forwarded = started;
            gone = left;
            broken = committed || bodyBroken;
            held = !gone && !broken && !mayRunBehindOthers(received, forwarding) && !connection.isFirst(this);
            heldForwarding = held ? started : null;
        }
        if (held) {
            return;
        }
        begin(started);
        if (gone || broken) {
            started.callerLeft();
        }
    }

    /**
     * Whether a request may be passed on before earlier ones have been answered. An answer that ends the connection
     * tells the caller that nothing behind it was read, so nothing may run there that must not run twice. Large answers
     * would hold their servers while they wait, and an interim answer must not come before the earlier answers.
     */
    private static boolean mayRunBehindOthers(RequestHead received, Forwarding forwarding) {
        return forwarding.trafficClass() == TrafficClass.LOOKUP && !expectsContinue(received);
    }

    private static boolean expectsContinue(RequestHead received) {
        return HeaderRules.hasToken(received.headers(), "Expect", "100-continue");
    }

    private void begin(ForwardedExchange started) {
        RequestHead received = head;
        if (received != null && expectsContinue(received)) {
            sendContinue();
        }
        started.start();
    }

    /** Called when all earlier requests on the connection have been answered. */
    void becameFirst() {
        PendingResponse answer;
        ForwardedExchange forwarding;
        synchronized (this) {
            answer = heldAnswer;
            heldAnswer = null;
            forwarding = left ? null : heldForwarding;
            heldForwarding = null;
            if (answer != null && !left) {
                send(answer);
            }
        }
        if (forwarding != null) {
            begin(forwarding);
        }
    }

    private synchronized void sendContinue() {
        if (requestComplete || committed || left || responses == null) {
            return;
        }
        try {
            responses.sendInformation(new BasicHttpResponse(100), null);
        } catch (HttpException | IOException cause) {
            connection.abort();
        }
    }

    BodyPipe requestBody() {
        return requestBody;
    }

    synchronized boolean isBodyComplete() {
        return requestComplete;
    }

    /**
     * Answers with a refusal.
     *
     * @return whether it was written, which it is not once an answer has begun or the caller has left
     */
    boolean refuse(Refusal refusal, String detail, long retryAfterMillis, List<Map.Entry<String, String>> headers) {
        return answer(RefusalResponses.build(refusal, detail, retryAfterMillis, server.settings().wireRules, headers));
    }

    private boolean answer(RecordedResponse answer) {
        boolean headOnly = head != null && head.method().equals("HEAD");
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        for (Map.Entry<String, String> header : answer.headers()) {
            String name = header.getKey();
            if (!name.equalsIgnoreCase("Content-Length") && !name.equalsIgnoreCase("Transfer-Encoding")) {
                headers.add(header);
            }
        }
        boolean without = headOnly || answer.status() == 204 || answer.status() == 304;
        return commit(
                answer.status(), headers, without ? NO_BODY : answer.body().length, new BufferedBody(answer.body()));
    }

    /**
     * Starts the answer.
     *
     * @param length of the body, or {@link #CHUNKED} or {@link #NO_BODY}
     * @return whether this was the first answer and the caller is still there
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
            if (committed || left || responses == null) {
                return false;
            }
            committed = true;
            PendingResponse answer = new PendingResponse(response, length, body);
            if (connection.isFirst(this)) {
                send(answer);
            } else {
                heldAnswer = answer;
            }
        }
        if (forwarded == null) {
            discardRequestBody();
        }
        return true;
    }

    /** Called with the lock held, when all earlier answers have been sent. */
    private void send(PendingResponse answer) {
        ResponseChannel channel = responses;
        if (channel == null) {
            return;
        }
        boolean ends = !requestComplete || server.isStopping() || connection.isEnding();
        if (ends && connection.endAfter(this)) {
            answer.response().setHeader("Connection", "close");
            closeAfterAnswer = true;
        }
        lastWriteNanos = server.now();
        boolean withBody = answer.length() > 0 || answer.length() == CHUNKED;
        answerBody = withBody ? answer.body() : null;
        try {
            EntityDetails details = withBody ? new BasicEntityDetails(answer.length(), null) : null;
            channel.sendResponse(answer.response(), details, null);
            if (!withBody) {
                written();
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

    /** Breaks the caller's connection, so that an incomplete answer does not look complete. */
    void abort() {
        connection.abort();
    }

    /** Whether the end of the answer has been passed on; waits while another thread starts the answer. */
    synchronized boolean isWritten() {
        return written;
    }

    private void written() {
        synchronized (this) {
            if (written) {
                return;
            }
            written = true;
            if (closeAfterAnswer) {
                connection.startClosing();
            }
        }
        connection.answerEnded(this);
    }

    /** Called when the whole answer has gone to the socket. */
    void answerFlushed() {
        ForwardedExchange present = forwarded;
        if (present != null) {
            present.delivered();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        requestBody.readerWaits(connection.bodyGate().closeUntilUpdated(channel));
        bodyProgress();
    }

    @Override
    public void consume(ByteBuffer source) {
        lastBodyNanos = server.now();
        bodyBytes += source.remaining();
        if (bodyBytes > server.settings().maxBodyBytes) {
            source.position(source.limit());
            breakBody(Refusal.REQUEST_TOO_LARGE, "The body of the request is too large.");
            return;
        }
        requestBody.append(source);
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) {
        synchronized (this) {
            requestComplete = true;
        }
        if (trailers == CallerBodyDecoder.MALFORMED) {
            connection.endAfterRunning();
            breakBody(Refusal.MALFORMED_REQUEST, "The body of the request is malformed.");
        } else if (!bodyBroken) {
            requestBody.end();
            bodyProgress();
        }
    }

    private void bodyProgress() {
        ForwardedExchange present = forwarded;
        if (present != null) {
            present.requestBodyReady();
        }
    }

    private void refuseTooLarge() {
        refuse(Refusal.REQUEST_TOO_LARGE, "The body of the request is too large.", -1, List.of());
    }

    private void breakBody(Refusal refusal, String detail) {
        ForwardedExchange present;
        synchronized (this) {
            if (bodyBroken) {
                return;
            }
            bodyBroken = true;
            present = forwarded;
        }
        discardRequestBody();
        if (present != null) {
            present.requestBodyBroken(refusal, detail);
        } else {
            refuse(refusal, detail, -1, List.of());
        }
    }

    @Override
    public int available() {
        BodySource body = answerBody;
        return body == null || written ? 0 : body.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        BodySource body = answerBody;
        if (body == null || written) {
            return;
        }
        int before = body.available();
        boolean ended = body.produce(channel);
        if (before != body.available()) {
            lastWriteNanos = server.now();
        }
        if (ended) {
            written();
        }
    }

    /** Applies the time limits to the request body, the caller's reading and the upstream's answer. */
    void checkTime(long now) {
        long bodyLimit = server.settings().bodyTimeout.toNanos();
        ForwardedExchange present = forwarded;
        boolean streaming = present != null && present.isBodyTaken();
        long bodySince = streaming ? lastBodyNanos : startedNanos;
        boolean waitsForBody;
        synchronized (this) {
            waitsForBody = !requestComplete && !written && !requestBody.isFull();
        }
        if (waitsForBody && now - bodySince > bodyLimit) {
            breakBody(Refusal.REQUEST_TIMEOUT, "The body of the request did not arrive in time.");
        }
        BodySource body = answerBody;
        if (body == null || written || body.available() == 0) {
            lastWriteNanos = now;
        } else if (now - lastWriteNanos > server.settings().answerIdleTimeout.toNanos()) {
            abort();
        }
        if (present != null) {
            present.checkTime(now);
        }
    }

    @Override
    public void failed(Exception cause) {
        connection.callerLeft();
    }

    /** Called when the caller can receive nothing any more. */
    void callerLeft() {
        ForwardedExchange present;
        synchronized (this) {
            if (left) {
                return;
            }
            left = true;
            present = forwarded;
        }
        if (present != null) {
            present.callerLeft();
        }
    }

    @Override
    public void releaseResources() {
        if (!isWritten()) {
            connection.callerLeft();
        }
        connection.exchangeEnded(this);
    }
}
