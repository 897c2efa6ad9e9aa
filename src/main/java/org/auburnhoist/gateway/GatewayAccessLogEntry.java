package org.auburnhoist.gateway;

import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Access log entry of one request. Each request that did not succeed at the first attempt is logged; any other is
 * logged as a routine event.
 */
final class GatewayAccessLogEntry {
    private final String requestId;
    private final String attemptId;
    private final String path;
    private final List<String> attempts = new ArrayList<>();
    private String team = "";
    private String route = "";
    private String service = "";
    private long configurationVersion;

    GatewayAccessLogEntry(String requestId, String attemptId, String path) {
        this.requestId = requestId;
        this.attemptId = attemptId;
        this.path = path;
    }

    void routed(String teamName, String routeName, String serviceName, long version) {
        team = teamName;
        route = routeName;
        service = serviceName;
        configurationVersion = version;
    }

    synchronized void addAttempt(String server, AttemptOutcome outcome, boolean sent, long latencyMicros) {
        attempts.add(server + ":" + outcome + ":" + (sent ? "sent" : "not-sent") + ":" + latencyMicros + "us");
    }

    /** Logs a request that was refused before any server was selected. */
    void logRefusal(Refusal refusal, String reason, long retryAfterMillis) {
        newEvent()
                .with("status", refusal.status())
                .with("refusal", refusal.code())
                .with("outcome", refusal.outcome().headerValue())
                .with("reason", reason)
                .with("retry_after_millis", retryAfterMillis)
                .log();
    }

    /** Logs a request that was forwarded and has ended. */
    synchronized void logCompletion(int status, @Nullable Refusal refusal, boolean complete, long durationMicros) {
        boolean routine = status >= 200 && status < 300 && complete && attempts.size() <= 1;
        Event event = newEvent().with("attempts", String.join(",", attempts)).with("status", status);
        if (refusal != null) {
            event.with("refusal", refusal.code())
                    .with("outcome", refusal.outcome().headerValue());
        }
        event.with("complete", complete).with("micros", durationMicros);
        if (routine) {
            event.logRoutine();
        } else {
            event.log();
        }
    }

    private Event newEvent() {
        return Event.named("request")
                .with("attempt", attemptId)
                .with("id", requestId)
                .with("path", path)
                .with("team", team)
                .with("route", route)
                .with("service", service)
                .with("configuration", configurationVersion);
    }
}
