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
     * @param path path to forward
     * @param bufferedBody the whole body, or null if the body is streamed
     * @param headers end-to-end headers for the server
     */
    static BasicHttpRequest build(
            RequestHead head, String path, byte @Nullable [] bufferedBody, List<Map.Entry<String, String>> headers) {
        String target = head.query() == null ? path : path + "?" + head.query();
        BasicHttpRequest request = new BasicHttpRequest(head.method(), target);
        headers.forEach(header -> request.addHeader(header.getKey(), header.getValue()));
        if (bufferedBody == null && head.contentLength() < 0) {
            request.setHeader("Transfer-Encoding", "chunked");
        } else if (bufferedBody == null) {
            request.setHeader("Content-Length", Long.toString(head.contentLength()));
        } else if (bufferedBody.length > 0 || head.header("Content-Length") != null) {
            request.setHeader("Content-Length", Integer.toString(bufferedBody.length));
        }
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
