package org.auburnhoist.proxy;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;

/** The project's own conventions, which are the default. */
final class StandardWireRules implements WireRules {
    private static final long MILLIS_PER_SECOND = 1000;

    @Override
    public List<Map.Entry<String, String>> upstreamRequestHeaders(
            RequestHead head, Forwarding.Target.ServerTarget target, String team, String hostName) {
        return HeaderRules.upstreamRequestHeaders(head, target.address(), hostName);
    }

    @Override
    public String deadlineHeader() {
        return HeaderRules.DEADLINE;
    }

    @Override
    public String requestIdHeader() {
        return HeaderRules.REQUEST_ID;
    }

    @Override
    public AttemptOutcome attemptOutcome(int status, List<Map.Entry<String, String>> headers) {
        return UpstreamRequests.attemptOutcome(status, headers);
    }

    @Override
    public boolean isResponseTo(RequestHead head, List<Map.Entry<String, String>> responseHeaders) {
        return true;
    }

    @Override
    public boolean mayForwardResponse(int status, List<Map.Entry<String, String>> headers) {
        return true;
    }

    @Override
    public int status(Refusal refusal) {
        return refusal.status();
    }

    /** Formats whole seconds, rounded up. */
    @Override
    public String retryAfter(long millis) {
        long seconds = millis / MILLIS_PER_SECOND + (millis % MILLIS_PER_SECOND > 0 ? 1 : 0);
        return Long.toString(seconds);
    }
}
