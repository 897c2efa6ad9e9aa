package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.configuration.NetworkAddress;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.store.Entry;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** Decodes servers' registrations and ignores entries of other writers, which describe no server. */
final class RegistrationDecoder {
    private static final int MAX_REPORTED = 1_000;

    private final String prefix;
    private final Map<String, StorePosition> reportedPositions = new HashMap<>();

    RegistrationDecoder(String prefix) {
        this.prefix = prefix;
    }

    @Nullable
    UpstreamServer decode(Entry entry) {
        JsonNode root;
        try {
            root = Json.read(entry.value());
        } catch (IOException cause) {
            return reportUnusable(entry, "malformed JSON");
        }
        JsonNode state = root.path("state");
        boolean leaving = state.asText().equals("draining");
        JsonNode slots = root.path("slots");
        JsonNode started = root.path("born");
        if (!root.path("service").isTextual()
                || !root.path("address").isTextual()
                || !NetworkAddress.isValid(root.path("address").asText())
                || !state.isTextual()
                || !(leaving || state.asText().equals("ready"))
                || !slots.isIntegralNumber()
                || slots.asInt() < 1
                || !(started.isMissingNode() || started.isIntegralNumber())) {
            return reportUnusable(entry, "a field is missing or invalid");
        }
        return new UpstreamServer(
                entry.key().substring(prefix.length()),
                started.asLong(0),
                root.path("service").asText(),
                root.path("address").asText(),
                root.path("zone").asText(""),
                slots.asInt(),
                leaving,
                Math.max(0, root.path("warmup_left_ms").asLong(0)));
    }

    /** Logs each state of an entry once, not on every read. */
    private @Nullable UpstreamServer reportUnusable(Entry entry, String reason) {
        if (reportedPositions.size() >= MAX_REPORTED) {
            reportedPositions.clear();
        }
        StorePosition logged = reportedPositions.put(entry.key(), entry.position());
        if (entry.position().equals(logged)) {
            return null;
        }
        Event.named("registration-unusable")
                .with("key", entry.key())
                .with("position", entry.position())
                .with("reason", reason)
                .log();
        return null;
    }
}
