package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.configuration.NetworkAddress;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.store.Entry;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** Decodes servers' registrations and ignores entries of other writers, which describe no server. */
final class RegistrationDecoder {
    private static final int MAX_REPORTED = 1_000;
    /** Far above what a server can process at once. */
    private static final int MAX_SLOTS = 10_000;

    private static final long MAX_WARM_UP_MILLIS = Duration.ofMinutes(10).toMillis();
    /** The ID is sent as the value of a header. */
    private static final Pattern ID = Pattern.compile("[!-~]+");

    private final String prefix;
    private final Map<String, StorePosition> reportedPositions = new HashMap<>();

    RegistrationDecoder(String prefix) {
        this.prefix = prefix;
    }

    @Nullable
    UpstreamServer decode(Entry entry) {
        String id = entry.key().substring(prefix.length());
        if (!ID.matcher(id).matches()) {
            return reportUnusable(entry, "the ID is empty or contains other characters than visible ASCII");
        }
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
                || !(slots.isIntegralNumber() && slots.canConvertToInt())
                || slots.asInt() < 1
                || slots.asInt() > MAX_SLOTS
                || !(started.isMissingNode() || (started.isIntegralNumber() && started.canConvertToLong()))) {
            return reportUnusable(entry, "a field is missing or invalid");
        }
        return new UpstreamServer(
                id,
                started.asLong(0),
                root.path("service").asText(),
                root.path("address").asText(),
                root.path("zone").asText(""),
                slots.asInt(),
                leaving,
                warmUpMillis(root.path("warmup_left_ms")));
    }

    /** The time is only a hint, so one that is out of range does not make the entry unusable. */
    private static long warmUpMillis(JsonNode millis) {
        return millis.canConvertToLong() ? Math.max(0, Math.min(MAX_WARM_UP_MILLIS, millis.asLong(0))) : 0;
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
