package org.auburnhoist.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.EntityDetails;
import org.jspecify.annotations.Nullable;

/**
 * Headers and body length with which an upstream server's response is forwarded to the caller.
 *
 * @param headers end-to-end headers, with the announced length of a response that has no body
 * @param length length of the body in bytes, or {@link CallerExchange#CHUNKED} or {@link CallerExchange#NO_BODY}
 */
record ResponseFraming(List<Map.Entry<String, String>> headers, long length) {
    /**
     * Determines the framing of a response.
     *
     * @param responseHeaders all headers of the response
     * @param callerHeaders those that are forwarded to the caller
     */
    static ResponseFraming of(
            RequestHead request,
            int status,
            List<Map.Entry<String, String>> responseHeaders,
            List<Map.Entry<String, String>> callerHeaders,
            @Nullable EntityDetails entity) {
        List<Map.Entry<String, String>> headers = new ArrayList<>(callerHeaders);
        if (entity != null) {
            long length = entity.getContentLength() >= 0 ? entity.getContentLength() : CallerExchange.CHUNKED;
            return new ResponseFraming(headers, length);
        }
        if (request.method().equals("HEAD") || status == 204 || status == 304) {
            responseHeaders.stream()
                    .filter(header -> header.getKey().equalsIgnoreCase("Content-Length"))
                    .findFirst()
                    .ifPresent(headers::add);
            return new ResponseFraming(headers, CallerExchange.NO_BODY);
        }
        return new ResponseFraming(headers, 0);
    }
}
