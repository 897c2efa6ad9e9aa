package org.auburnhoist.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.proxy.Forwarding;
import org.auburnhoist.proxy.HeaderRules;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.WireRules;
import org.jspecify.annotations.Nullable;

/** The platform's header names and what its statuses promise. */
final class PlatformWireRules implements WireRules {
    /** Id of one attempt of a caller; every retry of the caller has another one. */
    static final String ATTEMPT_ID = "X-Attempt-Id";
    /** Milliseconds that the sender will still wait. */
    static final String DEADLINE = "X-Deadline-Remaining";
    /** The server incarnation that must run the request; any other one refuses it. */
    private static final String TARGET = "X-Target-Instance";
    /** Name of the team, told to servers in the place of the key. */
    private static final String TEAM = "X-Tenant";
    /** Proves that a server has produced the answer. */
    private static final String SIGNATURE = "X-Response-Signature";
    /** The server states that it did not run the request and never will. */
    private static final String NOT_RUN = "X-Not-Executed";

    private static final String REQUEST_ID = "Auburnhoist-Request-Id";
    private static final int MISDIRECTED = 421;
    /** Statuses that promise callers that the request has not run and never will. */
    private static final Set<Integer> PROMISING = Set.of(408, MISDIRECTED, 429, 503);

    private static final Set<String> NOT_FORWARDED = Set.of(
            "authorization",
            "expect",
            DEADLINE.toLowerCase(Locale.ROOT),
            TARGET.toLowerCase(Locale.ROOT),
            TEAM.toLowerCase(Locale.ROOT));

    @Override
    public List<Map.Entry<String, String>> upstreamRequestHeaders(
            RequestHead head, Forwarding.Target.ServerTarget target, String team, String hostName) {
        List<Map.Entry<String, String>> result = new ArrayList<>();
        for (Map.Entry<String, String> header : HeaderRules.endToEnd(head.headers())) {
            if (!NOT_FORWARDED.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                result.add(header);
            }
        }
        result.add(Map.entry(TARGET, target.name()));
        if (!team.isEmpty()) {
            result.add(Map.entry(TEAM, team));
        }
        return result;
    }

    @Override
    public String deadlineHeader() {
        return DEADLINE;
    }

    @Override
    public String requestIdHeader() {
        return REQUEST_ID;
    }

    @Override
    public AttemptOutcome attemptOutcome(int status, List<Map.Entry<String, String>> headers) {
        if (status == MISDIRECTED) {
            return AttemptOutcome.MISDIRECTED;
        }
        if (value(headers, NOT_RUN) != null) {
            return AttemptOutcome.REJECTED;
        }
        return status >= 500 || !mayForwardResponse(status, headers)
                ? AttemptOutcome.SERVER_ERROR
                : AttemptOutcome.SUCCESS;
    }

    @Override
    public boolean isResponseTo(RequestHead head, List<Map.Entry<String, String>> answerHeaders) {
        String echoed = value(answerHeaders, ATTEMPT_ID);
        return echoed == null || echoed.equals(head.header(ATTEMPT_ID));
    }

    /** A success without the signature is not the server's, and a promise without its statement would be false. */
    @Override
    public boolean mayForwardResponse(int status, List<Map.Entry<String, String>> headers) {
        boolean success = status >= 200 && status < 300;
        boolean proven = value(headers, SIGNATURE) != null && value(headers, ATTEMPT_ID) != null;
        return success ? proven : !PROMISING.contains(status);
    }

    @Override
    public ServerNotice serverNotice(int status, List<Map.Entry<String, String>> headers) {
        return ServerNoticeDecoder.decode(status, headers);
    }

    /** What a server says to this host about itself is no promise of this host to the caller. */
    @Override
    public List<Map.Entry<String, String>> callerResponseHeaders(List<Map.Entry<String, String>> headers) {
        return HeaderRules.endToEnd(headers).stream()
                .filter(header -> !header.getKey().equalsIgnoreCase(ServerNoticeDecoder.LEAVING)
                        && !header.getKey().equalsIgnoreCase(ServerNoticeDecoder.RETRY_AFTER))
                .toList();
    }

    /** The platform's clients take 502 and 422 as final; a request that never ran gets a status that says so. */
    @Override
    public int status(Refusal refusal) {
        return switch (refusal) {
            case UPSTREAM_UNREACHABLE, REQUEST_QUARANTINED -> Refusal.SERVICE_OVERLOADED.status();
            default -> refusal.status();
        };
    }

    /** Seconds with fractions, which the platform's clients understand. */
    @Override
    public String retryAfter(long millis) {
        return String.format(Locale.ROOT, "%d.%03d", millis / 1000, millis % 1000);
    }

    private static @Nullable String value(List<Map.Entry<String, String>> headers, String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                return header.getValue();
            }
        }
        return null;
    }
}
