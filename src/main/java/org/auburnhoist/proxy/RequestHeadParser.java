package org.auburnhoist.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.auburnhoist.core.Refusal;
import org.jspecify.annotations.Nullable;

/** Parses the heads of a caller's requests, reading a bounded number of them ahead of the responses. */
final class RequestHeadParser implements NHttpMessageParser<HttpRequest> {
    /** Reading from a caller that sends requests ahead of the responses pauses beyond this many buffered bytes. */
    private static final int READ_AHEAD_BYTES = 16 * 1024;

    private static final int DISCARD_BYTES = 4096;
    /** Registered methods have at most 17 letters. */
    private static final int MAX_METHOD_LENGTH = 32;

    private final CallerConnection connection;
    private final ProxySettings settings;
    private MessageHead head;

    RequestHeadParser(CallerConnection connection, ProxySettings settings) {
        this.connection = connection;
        this.settings = settings;
        this.head = newHead();
    }

    @Override
    public void reset() {
        head = newHead();
    }

    @Override
    public @Nullable HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException {
        boolean pipelined = connection.isExchangeRunning();
        if (!connection.mayReadHead() || (pipelined && endOfStream)) {
            waitForExchange(buffer, endOfStream);
            return null;
        }
        if (connection.isClosing()) {
            discard(buffer);
            return null;
        }
        if (connection.isHeadExpired()) {
            return accepted(
                    new RejectedRequest(Refusal.REQUEST_TIMEOUT, "The head of the request did not arrive in time."));
        }
        try {
            return accepted(parseHead(buffer, endOfStream));
        } catch (MalformedHeadException cause) {
            return accepted(new RejectedRequest(cause.refusal(), cause.detail()));
        }
    }

    /** Drops a request that follows a response with {@code Connection: close}; such a request counts as not read. */
    private @Nullable HttpRequest accepted(@Nullable HttpRequest request) {
        return request != null && connection.reserveExchange() ? request : null;
    }

    private void waitForExchange(SessionInputBuffer buffer, boolean endOfStream) throws IOException {
        if (endOfStream) {
            throw new ConnectionClosedException("caller disconnected");
        }
        if (buffer.length() > READ_AHEAD_BYTES) {
            connection.pauseReading();
        }
    }

    private static void discard(SessionInputBuffer buffer) {
        ByteBuffer target = ByteBuffer.allocate(DISCARD_BYTES);
        while (buffer.hasData()) {
            buffer.read(target.clear());
        }
    }

    private @Nullable HttpRequest parseHead(SessionInputBuffer buffer, boolean endOfStream)
            throws IOException, MalformedHeadException {
        if (!head.read(buffer)) {
            checkMethod(head.partialStartLine());
            if (head.isStarted() || buffer.hasData()) {
                connection.headStarted();
                if (endOfStream) {
                    throw new ConnectionClosedException("caller disconnected within a head");
                }
            }
            return null;
        }
        MessageHead complete = head;
        head = newHead();
        return parseRequest(complete);
    }

    /** Rejects bytes that cannot be a request as early as possible. */
    private static void checkMethod(String beginning) throws MalformedHeadException {
        int space = beginning.indexOf(' ');
        String method = space < 0 ? beginning : beginning.substring(0, space);
        if (!beginning.isEmpty()
                && !method.equals("\r")
                && (!MessageHead.isToken(method) || method.length() > MAX_METHOD_LENGTH)) {
            throw new MalformedHeadException("request line: expected method, target and HTTP/1.1");
        }
    }

    private MessageHead newHead() {
        return new MessageHead(settings.maxHeadBytes, settings.maxHeaderCount);
    }

    private static HttpRequest parseRequest(MessageHead head) throws MalformedHeadException {
        String[] parts = head.startLine().split(" ", -1);
        if (parts.length != 3 || !MessageHead.isToken(parts[0]) || !parts[2].equals("HTTP/1.1")) {
            throw new MalformedHeadException("request line: expected method, target and HTTP/1.1");
        }
        BasicHttpRequest request = new BasicHttpRequest(parts[0], originForm(parts[0], parts[1]));
        request.setVersion(HttpVersion.HTTP_1_1);
        checkHost(head.headers());
        for (Header header : head.headers()) {
            request.addHeader(header);
        }
        return request;
    }

    private static String originForm(String method, String target) throws MalformedHeadException {
        for (int index = 0; index < target.length(); index++) {
            if (target.charAt(index) <= ' ' || target.charAt(index) > '~' || target.charAt(index) == '#') {
                throw new MalformedHeadException("target: expected visible ASCII characters without a fragment");
            }
        }
        if (target.startsWith("/") && !method.equals("CONNECT")) {
            return target;
        }
        if (target.regionMatches(true, 0, "http://", 0, 7)) {
            int slash = target.indexOf('/', 7);
            return slash < 0 ? "/" : target.substring(slash);
        }
        throw new MalformedHeadException("target: expected a path that starts with a slash");
    }

    private static void checkHost(List<Header> headers) throws MalformedHeadException {
        long count = headers.stream()
                .filter(header -> header.getName().equalsIgnoreCase("Host"))
                .count();
        if (count != 1) {
            throw new MalformedHeadException("Host: expected one, got " + count);
        }
    }
}
