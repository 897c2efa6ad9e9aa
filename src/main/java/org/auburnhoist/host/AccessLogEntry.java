package org.auburnhoist.host;

import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** Access log entry of one request: the caller, the route, the attempts on servers, and the result. */
final class AccessLogEntry {
    private final String requestId;
    private final String method;
    private final String path;
    private String team = "";
    private String keyId = "";
    private String route = "";
    private String operation = "";
    private final List<String> attempts = new ArrayList<>();

    AccessLogEntry(String requestId, String method, String path) {
        this.requestId = requestId;
        this.method = method;
        this.path = path;
    }

    void setCaller(String teamName, String publicKeyId) {
        team = teamName;
        keyId = publicKeyId;
    }

    void setRoute(String name) {
        route = name;
    }

    void setOperation(String id) {
        operation = id;
    }

    void addAttempt(String server, AttemptOutcome outcome, boolean sent, long latencyMicros) {
        attempts.add(server + ":" + outcome + ":" + (sent ? "sent" : "not-sent") + ":" + latencyMicros + "us");
    }

    String team() {
        return team;
    }

    /** Writes the entry of a request that was refused before a server was selected. */
    void logRefusal(Refusal refusal, String reason) {
        newEvent()
                .with("status", refusal.status())
                .with("refusal", refusal.code())
                .with("outcome", refusal.outcome().headerValue())
                .with("reason", reason)
                .log();
    }

    /** Writes the entry of a request that was forwarded, or answered from the record of an operation. */
    void logCompletion(int status, @Nullable Refusal refusal, boolean complete, long durationMicros) {
        Event event = newEvent();
        event.with("attempts", String.join(",", attempts)).with("status", status);
        if (refusal != null) {
            event.with("refusal", refusal.code())
                    .with("outcome", refusal.outcome().headerValue());
        }
        event.with("complete", complete).with("micros", durationMicros).log();
    }

    private Event newEvent() {
        Event event = Event.named("request")
                .with("id", requestId)
                .with("method", method)
                .with("path", path)
                .with("team", team)
                .with("key", keyId)
                .with("route", route);
        return operation.isEmpty() ? event : event.with("operation", operation);
    }
}
