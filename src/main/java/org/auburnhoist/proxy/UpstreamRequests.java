package org.auburnhoist.proxy;

import java.util.List;
import java.util.Map;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.auburnhoist.core.message.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/** Builds requests to upstream servers and classifies the responses. */
final class UpstreamRequests {
    private UpstreamRequests() {}

    /**
     * Builds the request head of one attempt.
     *
     * @param head the caller's request
     * @param forwarding determines the path and the team
     * @param target the chosen server
     * @param bufferedBody the whole body, or null if the body is streamed
     * @param settings determine the headers
     */
    static BasicHttpRequest build(
            RequestHead head,
            Forwarding forwarding,
            Forwarding.Target.ServerTarget target,
            byte @Nullable [] bufferedBody,
            ProxySettings settings) {
        WireRules rules = settings.wireRules;
        String path = forwarding.rewritePath(head.path());
        BasicHttpRequest request =
                new BasicHttpRequest(head.method(), head.query() == null ? path : path + "?" + head.query());
        rules.upstreamRequestHeaders(head, target, forwarding.team(), settings.hostName)
                .forEach(header -> request.addHeader(header.getKey(), header.getValue()));
        if (bufferedBody == null && head.contentLength() < 0) {
            request.setHeader("Transfer-Encoding", "chunked");
        } else if (bufferedBody == null) {
            request.setHeader("Content-Length", Long.toString(head.contentLength()));
        } else if (bufferedBody.length > 0 || head.header("Content-Length") != null) {
            request.setHeader("Content-Length", Integer.toString(bufferedBody.length));
        }
        request.setHeader(rules.requestIdHeader(), head.requestId());
        return request;
    }

    /** Classifies a server's complete response. */
    static AttemptOutcome attemptOutcome(int status, List<Map.Entry<String, String>> headers) {
        boolean retryAfter = headers.stream().anyMatch(header -> header.getKey().equalsIgnoreCase("Retry-After"));
        if (status == 429 || (status == 503 && retryAfter)) {
            return AttemptOutcome.SHED;
        }
        return status >= 500 ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.SUCCESS;
    }
}
