package org.auburnhoist.proxy;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ServerNotice;

/** Header names and status conventions that callers and upstream servers share with the proxy. */
public interface WireRules {
    /**
     * Returns the request headers for an upstream server, without framing headers.
     *
     * @param head the caller's request
     * @param target the server
     * @param team the team for which the request runs, empty if none
     * @param hostName the proxy's name
     */
    List<Map.Entry<String, String>> upstreamRequestHeaders(
            RequestHead head, Forwarding.Target.ServerTarget target, String team, String hostName);

    /** Name of the header that tells a server how many milliseconds remain until the deadline. */
    String deadlineHeader();

    /** Name of the header that carries the proxy's own request id. */
    String requestIdHeader();

    /** Classifies a server's complete response. */
    AttemptOutcome attemptOutcome(int status, List<Map.Entry<String, String>> headers);

    /** Whether a response belongs to a request, as far as its headers show. */
    boolean isResponseTo(RequestHead head, List<Map.Entry<String, String>> responseHeaders);

    /** Whether the response of a server that may have run the request can be forwarded unchanged. */
    boolean mayForwardResponse(int status, List<Map.Entry<String, String>> headers);

    /** Returns what a server's response says about further requests from this host. */
    default ServerNotice serverNotice(int status, List<Map.Entry<String, String>> headers) {
        return ServerNotice.NONE;
    }

    /** Returns the headers of a server's response for the caller, without framing headers. */
    default List<Map.Entry<String, String>> callerResponseHeaders(List<Map.Entry<String, String>> headers) {
        return HeaderRules.endToEnd(headers);
    }

    /** The HTTP status of the response to a refused request. */
    int status(Refusal refusal);

    /** Formats a delay as the value of a {@code Retry-After} header. */
    String retryAfter(long millis);
}
