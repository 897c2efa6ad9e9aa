package org.auburnhoist.proxy;

import java.util.List;
import java.util.Map;
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
