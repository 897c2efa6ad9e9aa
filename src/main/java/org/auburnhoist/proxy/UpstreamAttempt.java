package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.auburnhoist.core.message.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/** One attempt to run a request on one upstream server. */
final class UpstreamAttempt implements AsyncClientExchangeHandler, UpstreamPool.LeaseRequest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ForwardedExchange exchange;
    private final ProxyServer server;
    private final Forwarding.Target.ServerTarget target;
    private final boolean newConnection;
    private final BasicHttpRequest request;
    private final @Nullable BodySource body;
    private final long deadlineNanos;
    private @Nullable UpstreamConnection connection;
    private boolean closed;
    private boolean sent;
    private volatile boolean reusedConnection;
    private volatile boolean requestComplete;
    private volatile boolean headReceived;
    private int interimResponses;
    private boolean keepAlive;
    private boolean reusable;

    UpstreamAttempt(
            ForwardedExchange exchange,
            ProxyServer server,
            Forwarding.Target.ServerTarget target,
            boolean newConnection,
            BasicHttpRequest request,
            @Nullable BodySource body,
            long deadlineNanos) {
        this.exchange = exchange;
        this.server = server;
        this.target = target;
        this.newConnection = newConnection;
        this.request = request;
        this.body = body;
        this.deadlineNanos = deadlineNanos;
    }

    void start() {
        server.pool().lease(target.address(), target.connectionLimit(), server.now(), this);
    }

    /** Whether any byte of the request may have been written. */
    synchronized boolean isSent() {
        return sent;
    }

    boolean usesReusedConnection() {
        return reusedConnection;
    }

    /** Ends the attempt without reporting it; afterwards no further byte of the request is written. */
    void abandon() {
        UpstreamConnection used;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            used = connection;
        }
        server.pool().cancel(target.address(), this);
        if (used != null) {
            server.pool().discard(used);
        }
    }

    @Override
    public boolean needsNewConnection() {
        return newConnection;
    }

    @Override
    public boolean leased(UpstreamConnection leased) {
        synchronized (this) {
            if (closed) {
                return false;
            }
            connection = leased;
            reusedConnection = leased.isUsed();
        }
        leased.execute(this);
        return true;
    }

    @Override
    public void connectFailed(Exception cause) {
        fail(AttemptOutcome.CONNECT_FAILED);
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        if (!exchange.maySend(target)) {
            fail(AttemptOutcome.WITHHELD);
            throw new IOException("attempt: the server asked for no further requests");
        }
        UpstreamConnection used = startExchange();
        if (used == null) {
            throw new IOException("attempt: ended before the request was written");
        }
        long remaining = Math.max(0, (deadlineNanos - server.now()) / NANOS_PER_MILLI);
        request.setHeader(server.settings().wireRules.deadlineHeader(), Long.toString(remaining));
        requestComplete = body == null;
        EntityDetails details = body == null ? null : new BasicEntityDetails(Framing.ofRequest(request), null);
        channel.sendRequest(request, details, context);
    }

    private @Nullable UpstreamConnection startExchange() {
        UpstreamConnection used;
        synchronized (this) {
            used = connection;
            if (closed || used == null) {
                return null;
            }
        }
        try {
            used.startExchange();
        } catch (IOException cause) {
            fail(AttemptOutcome.CONNECTION_LOST);
            return null;
        }
        synchronized (this) {
            sent = !closed;
            return sent ? used : null;
        }
    }

    @Override
    public int available() {
        return body == null || requestComplete ? 0 : body.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (body != null && !requestComplete && body.produce(channel)) {
            requestComplete = true;
        }
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // Interim responses apply to this connection only and do not indicate when the final response arrives.
        interimResponses++;
        if (interimResponses > server.settings().maxInterimResponses) {
            fail(AttemptOutcome.CONNECTION_LOST);
        }
    }

    @Override
    public void consumeResponse(HttpResponse response, @Nullable EntityDetails entity, HttpContext context) {
        headReceived = true;
        List<Map.Entry<String, String>> headers = HeaderRules.toEntries(response.getHeaders());
        keepAlive = requestComplete
                && response.getVersion().greaterEquals(HttpVersion.HTTP_1_1)
                && !HeaderRules.hasToken(headers, "Connection", "close");
        UpstreamConnection used = connection;
        if (used != null) {
            used.keepAlive(HeaderRules.keepAliveSeconds(headers));
        }
        if (!exchange.isMatchingResponse(headers)) {
            // This is the late response to an earlier request; the matching response may or may not follow.
            fail(AttemptOutcome.CONNECTION_LOST);
            return;
        }
        exchange.responseHeadReceived(this, response.getCode(), headers, entity);
        if (entity == null) {
            complete();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        UpstreamConnection used = connection;
        exchange.responseCapacityExhausted(this, used == null ? channel : used.pauseUntilUpdated(channel));
    }

    @Override
    public void consume(ByteBuffer source) {
        exchange.responseDataReceived(this, source);
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) {
        complete();
    }

    private void complete() {
        UpstreamConnection used;
        synchronized (this) {
            used = connection;
            if (closed || used == null) {
                return;
            }
            closed = true;
            reusable = used.endExchange() && keepAlive;
        }
        if (!reusable) {
            server.pool().discard(used);
        }
        exchange.responseComplete(this);
    }

    private void fail(AttemptOutcome outcome) {
        UpstreamConnection used;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            used = connection;
        }
        if (used != null) {
            server.pool().discard(used);
        }
        exchange.attemptFailed(this, outcome);
    }

    @Override
    public void failed(Exception cause) {
        fail(headReceived ? AttemptOutcome.TRUNCATED : AttemptOutcome.CONNECTION_LOST);
    }

    @Override
    public void cancel() {
        fail(AttemptOutcome.CONNECTION_LOST);
    }

    @Override
    public void releaseResources() {
        UpstreamConnection used;
        synchronized (this) {
            used = reusable ? connection : null;
            reusable = false;
        }
        if (used != null) {
            server.pool().release(used, server.now());
        }
    }
}
