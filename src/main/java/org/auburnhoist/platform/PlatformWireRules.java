package org.auburnhoist.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.proxy.Forwarding;
import org.auburnhoist.proxy.HeaderRules;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.proxy.WireRules;
import org.jspecify.annotations.Nullable;

/** Header names and status conventions of the platform. */
final class PlatformWireRules implements WireRules {
    /** ID of a caller's attempt; each of the caller's retries has a different one. */
    static final String ATTEMPT_ID = "X-Attempt-Id";
    /** Milliseconds until the sender's deadline. */
    static final String DEADLINE = "X-Deadline-Remaining";
    /** The server instance that must run the request; every other instance rejects it. */
    private static final String TARGET_INSTANCE = "X-Target-Instance";
    /** Name of the team, sent to servers instead of the key. */
    private static final String TEAM = "X-Tenant";
    /** Proves that a server produced the response. */
    private static final String SIGNATURE = "X-Response-Signature";
    /** States that the server has not run the request and never will. */
    private static final String NOT_EXECUTED = "X-Not-Executed";

    private static final String REQUEST_ID = "Auburnhoist-Request-Id";
    private static final int MISDIRECTED = 421;
    /** Statuses that guarantee to callers that the request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, MISDIRECTED, 429, 503);

    private static final Set<String> NOT_FORWARDED = Set.of(
            "authorization",
            "expect",
            DEADLINE.toLowerCase(Locale.ROOT),
            TARGET_INSTANCE.toLowerCase(Locale.ROOT),
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
        result.add(Map.entry(TARGET_INSTANCE, target.name()));
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
        // A refusal without the attempt's ID may be an earlier one that a faulty server has written once more.
        if (firstValue(headers, ATTEMPT_ID) != null) {
            if (status == MISDIRECTED) {
                return AttemptOutcome.MISDIRECTED;
            }
            if (firstValue(headers, NOT_EXECUTED) != null) {
                return AttemptOutcome.REJECTED;
            }
        }
        return status >= 500 || !mayForwardResponse(status, headers) || firstValue(headers, NOT_EXECUTED) != null
                ? AttemptOutcome.SERVER_ERROR
                : AttemptOutcome.SUCCESS;
    }

    @Override
    public boolean isResponseTo(RequestHead head, List<Map.Entry<String, String>> responseHeaders) {
        String echoed = firstValue(responseHeaders, ATTEMPT_ID);
        return echoed == null || echoed.equals(head.header(ATTEMPT_ID));
    }

    /**
     * A success without a signature and attempt ID does not come from the server, and forwarding a not-run status
     * would guarantee what the server has not stated.
     */
    @Override
    public boolean mayForwardResponse(int status, List<Map.Entry<String, String>> headers) {
        boolean success = status >= 200 && status < 300;
        boolean signed = firstValue(headers, SIGNATURE) != null && firstValue(headers, ATTEMPT_ID) != null;
        return success ? signed : !NOT_RUN_STATUSES.contains(status);
    }

    @Override
    public ServerNotice serverNotice(int status, List<Map.Entry<String, String>> headers) {
        if (status == MISDIRECTED) {
            // Another server than the requested one responds.
            return ServerNotice.NONE;
        }
        ServerNotice notice = ServerNoticeDecoder.decode(status, headers);
        StatedLimit limit = ServerNoticeDecoder.decodeLimit(headers);
        // Without the attempt ID it is uncertain whether the server itself responds, so no limit is withdrawn.
        boolean certain = firstValue(headers, ATTEMPT_ID) != null;
        return limit.isLimited() || certain ? new ServerNotice(notice.leaving(), notice.pauseMillis(), limit) : notice;
    }

    /** Removes the headers that a server addresses to this host; forwarded, they would speak for the host itself. */
    @Override
    public List<Map.Entry<String, String>> callerResponseHeaders(List<Map.Entry<String, String>> headers) {
        return HeaderRules.endToEnd(headers).stream()
                .filter(header ->
                        !ServerNoticeDecoder.HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT)))
                .toList();
    }

    /** The platform's clients treat 502 and 422 as final, so a request that never ran gets a not-run status. */
    @Override
    public int status(Refusal refusal) {
        return switch (refusal) {
            case UPSTREAM_UNREACHABLE, REQUEST_QUARANTINED -> Refusal.SERVICE_OVERLOADED.status();
            default -> refusal.status();
        };
    }

    /** Formats fractional seconds, which the platform's clients accept. */
    @Override
    public String retryAfter(long millis) {
        return String.format(Locale.ROOT, "%d.%03d", millis / 1000, millis % 1000);
    }

    private static @Nullable String firstValue(List<Map.Entry<String, String>> headers, String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                return header.getValue();
            }
        }
        return null;
    }
}
