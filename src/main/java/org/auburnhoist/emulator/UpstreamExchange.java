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

/** One exchange at an emulated server: reads the whole request, passes it to the server and writes the response. */
final class UpstreamExchange implements AsyncServerExchangeHandler {
    /** Length of the start of the body that is searched for the crash marker. */
    private static final int MAX_INSPECTED_BODY_BYTES = 4096;

    private static final Set<Integer> STATUSES_WITHOUT_BODY = Set.of(204, 304);

    private final IntFunction<@Nullable UpstreamServer> serverOfPort;
    private final StringBuilder bodyPrefix = new StringBuilder();
    private @Nullable UpstreamServer server;
    private @Nullable HttpRequest request;
    private @Nullable ResponseChannel channel;
    private @Nullable HttpContext context;
    private @Nullable UpstreamResponse upstreamResponse;
    private long bodyOffset;
    private long truncationOffset = Long.MAX_VALUE;
    private long deadline;
    private volatile boolean ended;

    UpstreamExchange(IntFunction<@Nullable UpstreamServer> serverOfPort) {
        this.serverOfPort = serverOfPort;
    }

    @Override
    public void handleRequest(
            HttpRequest received, @Nullable EntityDetails entity, ResponseChannel responseChannel, HttpContext exchange)
            throws HttpException, IOException {
        request = received;
        channel = responseChannel;
        context = exchange;
        server = serverOfPort.apply(localPort(exchange));
        if (entity == null) {
            requestComplete();
        } else if (received.containsHeader("Expect")) {
            responseChannel.sendInformation(new BasicHttpResponse(100), exchange);
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
            if (bodyPrefix.length() < MAX_INSPECTED_BODY_BYTES) {
                bodyPrefix.append((char) (next & 0xff));
            }
        }
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) throws IOException {
        requestComplete();
    }

    private void requestComplete() throws IOException {
        UpstreamServer target = server;
        if (target == null) {
            throw new IOException("the server is down");
        }
        target.handle(this);
    }

    /** Sends a response, from any thread; a truncated one closes the connection in the middle of the body. */
    void send(UpstreamResponse newResponse, boolean truncated, boolean closing) {
        ResponseChannel responseChannel = channel;
        HttpContext exchange = context;
        if (ended || responseChannel == null || exchange == null) {
            return;
        }
        HttpResponse response = new BasicHttpResponse(newResponse.status());
        newResponse.headers().forEach(response::addHeader);
        if (closing) {
            response.addHeader("Connection", "close");
        }
        truncationOffset = truncated ? newResponse.length() / 2 : Long.MAX_VALUE;
        upstreamResponse = newResponse;
        boolean bodyless = STATUSES_WITHOUT_BODY.contains(newResponse.status());
        try {
            responseChannel.sendResponse(
                    response,
                    bodyless ? null : new BasicEntityDetails(newResponse.length(), newResponse.contentType()),
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

    /** Start of the request body, one character for each byte. */
    String bodyPrefix() {
        return bodyPrefix.toString();
    }

    String header(String name) {
        Header header = request().getFirstHeader(name);
        return header == null ? "" : header.getValue();
    }

    /** Time at which the caller stops waiting, in nanoseconds. */
    long deadline() {
        return deadline;
    }

    void setDeadline(long nanos) {
        deadline = nanos;
    }

    @Override
    public int available() {
        return upstreamResponse == null ? 0 : 1;
    }

    @Override
    public void produce(DataStreamChannel output) throws IOException {
        UpstreamResponse current = upstreamResponse;
        if (current == null) {
            return;
        }
        while (bodyOffset < current.length()) {
            if (bodyOffset >= truncationOffset) {
                throw new IOException("a fault truncates the response");
            }
            ByteBuffer part = current.bodyPart().apply(bodyOffset);
            part.limit((int) Math.min(
                    part.limit(), part.position() + Math.min(truncationOffset - bodyOffset, part.remaining())));
            int written = output.write(part);
            bodyOffset += written;
            if (written == 0 || bodyOffset >= truncationOffset) {
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
            target.release(this);
        }
    }

    private static int localPort(HttpContext exchange) {
        Object address = HttpCoreContext.cast(exchange).getEndpointDetails().getLocalAddress();
        return address instanceof InetSocketAddress socket ? socket.getPort() : 0;
    }
}
