package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.configuration.NetworkAddress;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.store.Entry;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** Reads servers' registrations; entries of other writers name no server. */
final class RegistrationDecoder {
    private static final int MOST_REPORTED = 1_000;

    private final String prefix;
    private final Map<String, Long> reported = new HashMap<>();

    RegistrationDecoder(String prefix) {
        this.prefix = prefix;
    }

    @Nullable
    UpstreamServer decode(Entry entry) {
        JsonNode root;
        try {
            root = Json.read(entry.value());
        } catch (IOException cause) {
            return unusable(entry, "not readable");
        }
        JsonNode state = root.path("state");
        boolean leaving = state.asText().equals("draining");
        JsonNode slots = root.path("slots");
        JsonNode born = root.path("born");
        if (!root.path("service").isTextual()
                || !root.path("address").isTextual()
                || !NetworkAddress.isValid(root.path("address").asText())
                || !state.isTextual()
                || !(leaving || state.asText().equals("ready"))
                || !slots.isIntegralNumber()
                || slots.asInt() < 1
                || !(born.isMissingNode() || born.isIntegralNumber())) {
            return unusable(entry, "a field is missing or of another type");
        }
        return new UpstreamServer(
                entry.key().substring(prefix.length()),
                born.asLong(0),
                root.path("service").asText(),
                root.path("address").asText(),
                root.path("zone").asText(""),
                slots.asInt(),
                leaving,
                Math.max(0, root.path("warmup_left_ms").asLong(0)));
    }

    /** Each entry is reported once, not with each read. */
    private @Nullable UpstreamServer unusable(Entry entry, String reason) {
        if (reported.size() >= MOST_REPORTED) {
            reported.clear();
        }
        Long earlier = reported.put(entry.key(), entry.revision());
        if (earlier != null && earlier == entry.revision()) {
            return null;
        }
        Event.named("registration-unusable")
                .with("key", entry.key())
                .with("revision", entry.revision())
                .with("reason", reason)
                .log();
        return null;
    }
}
