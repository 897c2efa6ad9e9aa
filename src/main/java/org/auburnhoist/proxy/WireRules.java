package org.auburnhoist.proxy;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ServerNotice;

/** Header names and status conventions that callers and upstream servers share with the proxy. */
public interface WireRules {
    /**
     * Headers of a request that go to an upstream server, without framing.
     *
     * @param head the caller's request
     * @param target the server
     * @param team the team for which the request runs, empty if none
     * @param hostName the proxy's name
     */
    List<Map.Entry<String, String>> upstreamRequestHeaders(
            RequestHead head, Forwarding.Target.ServerTarget target, String team, String hostName);

    /** Name of the header that tells a server how many milliseconds are left. */
    String deadlineHeader();

    /** Name of the header that carries the proxy's own id of the request. */
    String requestIdHeader();

    /** How a complete answer counts for its server. */
    AttemptOutcome attemptOutcome(int status, List<Map.Entry<String, String>> headers);

    /** Whether an answer belongs to a request, as far as its headers tell. */
    boolean isResponseTo(RequestHead head, List<Map.Entry<String, String>> answerHeaders);

    /** Whether the answer of a server that may have run the request can be passed on unchanged. */
    boolean mayForwardResponse(int status, List<Map.Entry<String, String>> headers);

    /** What a server says in an answer about further requests of this host. */
    default ServerNotice serverNotice(int status, List<Map.Entry<String, String>> headers) {
        return ServerNotice.NONE;
    }

    /** Headers of a server's answer that go to the caller, without framing. */
    default List<Map.Entry<String, String>> callerResponseHeaders(List<Map.Entry<String, String>> headers) {
        return HeaderRules.endToEnd(headers);
    }

    /** The HTTP status with which a refusal is answered. */
    int status(Refusal refusal);

    /** The value of a {@code Retry-After} header. */
    String retryAfter(long millis);
}
