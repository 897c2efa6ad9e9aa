package org.auburnhoist.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.jspecify.annotations.Nullable;

/** One request at an emulated server: reads it whole, hands it to the server, writes the answer. */
final class UpstreamExchange implements AsyncServerExchangeHandler {
    /** Part of the body in which a crash marker is looked for. */
    private static final int KEPT_BODY_BYTES = 4096;

    private static final Set<Integer> WITHOUT_BODY = Set.of(204, 304);

    private final IntFunction<@Nullable UpstreamServer> serverOfPort;
    private final StringBuilder bodyStart = new StringBuilder();
    private @Nullable UpstreamServer server;
    private @Nullable HttpRequest request;
    private @Nullable ResponseChannel channel;
    private @Nullable HttpContext context;
    private @Nullable UpstreamAnswer answer;
    private long offset;
    private long breakAt = Long.MAX_VALUE;
    private long deadline;
    private volatile boolean ended;

    UpstreamExchange(IntFunction<@Nullable UpstreamServer> serverOfPort) {
        this.serverOfPort = serverOfPort;
    }

    @Override
    public void handleRequest(
            HttpRequest received, @Nullable EntityDetails entity, ResponseChannel responses, HttpContext exchange)
            throws HttpException, IOException {
        request = received;
        channel = responses;
        context = exchange;
        server = serverOfPort.apply(localPort(exchange));
        if (entity == null) {
            begin();
        } else if (received.containsHeader("Expect")) {
            responses.sendInformation(new BasicHttpResponse(100), exchange);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer source) {
        while (source.hasRemaining()) {
            byte next = source.get();
            if (bodyStart.length() < KEPT_BODY_BYTES) {
                bodyStart.append((char) (next & 0xff));
            }
        }
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) throws IOException {
        begin();
    }

    private void begin() throws IOException {
        UpstreamServer target = server;
        if (target == null) {
            throw new IOException("the server is down");
        }
        target.begin(this);
    }

    /** Sends an answer, from any thread; one that ends in the middle breaks the connection there. */
    void send(UpstreamAnswer newAnswer, boolean truncated, boolean closing) {
        ResponseChannel responses = channel;
        HttpContext exchange = context;
        if (ended || responses == null || exchange == null) {
            return;
        }
        HttpResponse response = new BasicHttpResponse(newAnswer.status());
        newAnswer.headers().forEach(response::addHeader);
        if (closing) {
            response.addHeader("Connection", "close");
        }
        breakAt = truncated ? newAnswer.length() / 2 : Long.MAX_VALUE;
        answer = newAnswer;
        boolean bodyless = WITHOUT_BODY.contains(newAnswer.status());
        try {
            responses.sendResponse(
                    response,
                    bodyless ? null : new BasicEntityDetails(newAnswer.length(), newAnswer.contentType()),
                    exchange);
        } catch (HttpException | IOException | RuntimeException cause) {
            ended = true;
        }
    }

    HttpRequest request() {
        HttpRequest known = request;
        if (known == null) {
            throw new IllegalStateException("request: expected one that was read, got none");
        }
        return known;
    }

    /** First part of the body, one character for each byte. */
    String bodyStart() {
        return bodyStart.toString();
    }

    String header(String name) {
        Header header = request().getFirstHeader(name);
        return header == null ? "" : header.getValue();
    }

    /** Time at which the caller gives up. */
    long deadline() {
        return deadline;
    }

    void deadline(long nanos) {
        deadline = nanos;
    }

    @Override
    public int available() {
        return answer == null ? 0 : 1;
    }

    @Override
    public void produce(DataStreamChannel output) throws IOException {
        UpstreamAnswer current = answer;
        if (current == null) {
            return;
        }
        while (offset < current.length()) {
            if (offset >= breakAt) {
                throw new IOException("the answer is truncated");
            }
            ByteBuffer part = current.bytes().apply(offset);
            part.limit((int) Math.min(part.limit(), part.position() + Math.min(breakAt - offset, part.remaining())));
            int written = output.write(part);
            offset += written;
            if (written == 0 || offset >= breakAt) {
                output.requestOutput();
                return;
            }
        }
        output.endStream(null);
    }

    @Override
    public void failed(Exception cause) {
        releaseResources();
    }

    @Override
    public void releaseResources() {
        ended = true;
        UpstreamServer target = server;
        if (target != null) {
            target.ended(this);
        }
    }

    private static int localPort(HttpContext exchange) {
        Object address = HttpCoreContext.cast(exchange).getEndpointDetails().getLocalAddress();
        return address instanceof InetSocketAddress socket ? socket.getPort() : 0;
    }
}
