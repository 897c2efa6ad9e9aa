package org.auburnhoist.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.reactor.IOSession;
import org.jspecify.annotations.Nullable;

/**
 * The head of a caller's request.
 *
 * @param requestId unique id for the audit log
 * @param method HTTP method in upper case
 * @param path path in origin form without the query
 * @param query query without the question mark, or null
 * @param headers header names and values in the order received, including the caller's key
 * @param contentLength announced length of the body in bytes, 0 without a body, -1 if chunked
 * @param remoteAddress the caller's IP address
 */
public record RequestHead(
        String requestId,
        String method,
        String path,
        @Nullable String query,
        List<Map.Entry<String, String>> headers,
        long contentLength,
        String remoteAddress) {

    /** Copies the headers. */
    public RequestHead {
        headers = List.copyOf(headers);
    }

    /** Converts a parsed request, of which {@code entity} describes the body. */
    static RequestHead of(String requestId, HttpRequest request, @Nullable EntityDetails entity, IOSession session) {
        String target = request.getPath();
        int queryStart = target.indexOf('?');
        String remote = session.getRemoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "unknown";
        return new RequestHead(
                requestId,
                request.getMethod(),
                queryStart < 0 ? target : target.substring(0, queryStart),
                queryStart < 0 ? null : target.substring(queryStart + 1),
                HeaderRules.toEntries(request.getHeaders()),
                entity == null ? 0 : entity.getContentLength(),
                remote);
    }

    /** Whether the caller waits for an interim response before it sends the body. */
    boolean expectsContinue() {
        return HeaderRules.hasToken(headers, "Expect", "100-continue");
    }

    /** The first value of a header, compared without regard to case, or null. */
    public @Nullable String header(String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                return header.getValue();
            }
        }
        return null;
    }

    /** Whether a header occurs more than once, so that receivers could use different values. */
    public boolean isRepeated(String name) {
        return headers.stream()
                        .filter(header -> header.getKey().equalsIgnoreCase(name))
                        .count()
                > 1;
    }
}
