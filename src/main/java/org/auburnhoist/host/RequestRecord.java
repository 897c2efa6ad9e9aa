package org.auburnhoist.host;

import java.util.ArrayList;
import java.util.List;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** What the record says about one request: who asked, where it went, and what was and was not done. */
final class RequestRecord {
    private final String requestId;
    private final String method;
    private final String path;
    private String team = "";
    private String keyId = "";
    private String route = "";
    private String operation = "";
    private final List<String> attempts = new ArrayList<>();

    RequestRecord(String requestId, String method, String path) {
        this.requestId = requestId;
        this.method = method;
        this.path = path;
    }

    void caller(String teamName, String publicKeyId) {
        team = teamName;
        keyId = publicKeyId;
    }

    void route(String name) {
        route = name;
    }

    void operation(String id) {
        operation = id;
    }

    void attempt(String server, AttemptOutcome outcome, boolean sent, long latencyMicros) {
        attempts.add(server + ":" + outcome + ":" + (sent ? "sent" : "not-sent") + ":" + latencyMicros + "us");
    }

    String team() {
        return team;
    }

    /** Writes the line of a request that was refused before any server was chosen. */
    void refused(Refusal refusal, String reason) {
        start().with("status", refusal.status())
                .with("refusal", refusal.code())
                .with("outcome", refusal.outcome().headerValue())
                .with("reason", reason)
                .log();
    }

    /** Writes the line of a request that was forwarded or answered from the record of an operation. */
    void write(int status, @Nullable Refusal refusal, boolean complete, long durationMicros) {
        Event event = start();
        event.with("attempts", String.join(",", attempts)).with("status", status);
        if (refusal != null) {
            event.with("refusal", refusal.code())
                    .with("outcome", refusal.outcome().headerValue());
        }
        event.with("complete", complete).with("micros", durationMicros).log();
    }

    private Event start() {
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
