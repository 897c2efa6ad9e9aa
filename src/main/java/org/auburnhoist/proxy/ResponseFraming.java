package org.auburnhoist.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.EntityDetails;
import org.jspecify.annotations.Nullable;

/**
 * How an upstream server's answer is passed on to the caller.
 *
 * @param headers end-to-end headers, with the announced length of an answer that has no body
 * @param length of the body, or {@link CallerExchange#CHUNKED} or {@link CallerExchange#NO_BODY}
 */
record ResponseFraming(List<Map.Entry<String, String>> headers, long length) {
    static ResponseFraming of(
            RequestHead request,
            int status,
            List<Map.Entry<String, String>> answerHeaders,
            @Nullable EntityDetails entity) {
        List<Map.Entry<String, String>> headers = new ArrayList<>(HeaderRules.endToEnd(answerHeaders));
        if (entity != null) {
            long length = entity.getContentLength() >= 0 ? entity.getContentLength() : CallerExchange.CHUNKED;
            return new ResponseFraming(headers, length);
        }
        if (request.method().equals("HEAD") || status == 204 || status == 304) {
            answerHeaders.stream()
                    .filter(header -> header.getKey().equalsIgnoreCase("Content-Length"))
                    .findFirst()
                    .ifPresent(headers::add);
            return new ResponseFraming(headers, CallerExchange.NO_BODY);
        }
        return new ResponseFraming(headers, 0);
    }
}
