package org.auburnhoist.proxy;

import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;

/** Body length of a message whose framing {@link MessageHead} has checked. */
final class Framing {
    private Framing() {}

    /** Length of a request body; without framing headers there is no body. */
    static long ofRequest(HttpMessage message) {
        long length = ofResponse(message);
        return length == ContentLengthStrategy.UNDEFINED ? 0 : length;
    }

    /** Length of a response body; without framing headers, the body ends when the connection closes. */
    static long ofResponse(HttpMessage message) {
        if (message.getFirstHeader("Transfer-Encoding") != null) {
            return ContentLengthStrategy.CHUNKED;
        }
        Header length = message.getFirstHeader("Content-Length");
        return length == null ? ContentLengthStrategy.UNDEFINED : Long.parseLong(length.getValue());
    }
}
