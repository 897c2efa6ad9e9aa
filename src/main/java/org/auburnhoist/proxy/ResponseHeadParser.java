package org.auburnhoist.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/** Parses the heads of an upstream server's responses; bytes outside an exchange make the connection fail. */
final class ResponseHeadParser implements NHttpMessageParser<HttpResponse> {
    private final ProxySettings settings;
    private MessageHead head;
    private @Nullable SessionInputBuffer buffer;
    private volatile boolean exchangeRunning;

    ResponseHeadParser(ProxySettings settings) {
        this.settings = settings;
        this.head = newHead();
    }

    void setExchangeRunning(boolean value) {
        exchangeRunning = value;
    }

    /** Whether the server sent more than its responses. */
    boolean hasUnreadBytes() {
        return buffer != null && buffer.hasData();
    }

    @Override
    public void reset() {
        head = newHead();
    }

    @Override
    public @Nullable HttpResponse parse(SessionInputBuffer source, boolean endOfStream)
            throws IOException, HttpException {
        buffer = source;
        if (!exchangeRunning) {
            if (source.hasData()) {
                throw new ProtocolException("response: expected none without a request");
            }
            return null;
        }
        if (!head.read(source)) {
            if (endOfStream) {
                throw new ConnectionClosedException("response: connection closed before its head");
            }
            return null;
        }
        MessageHead complete = head;
        head = newHead();
        return parseResponse(complete);
    }

    private MessageHead newHead() {
        return new MessageHead(settings.maxHeadBytes, settings.maxHeaderCount);
    }

    private static HttpResponse parseResponse(MessageHead head) throws HttpException {
        String line = head.startLine();
        boolean wellFormed = line.matches("HTTP/1\\.[01] [1-5][0-9]{2}( .*)?");
        int status = wellFormed ? Integer.parseInt(line.substring(9, 12)) : 0;
        if (!wellFormed || status == 101) {
            throw new ProtocolException("status line: expected HTTP/1.1 and a status from 100 to 599");
        }
        BasicHttpResponse response = new BasicHttpResponse(status);
        response.setVersion(line.charAt(7) == '0' ? HttpVersion.HTTP_1_0 : HttpVersion.HTTP_1_1);
        head.headers().forEach(response::addHeader);
        return response;
    }
}
