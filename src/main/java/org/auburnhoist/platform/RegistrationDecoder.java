package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.regex.Pattern;
import org.auburnhoist.core.configuration.NetworkAddress;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.store.Entry;

/**
 * Decodes servers' registrations. An entry describes a server only if all fields that servers write are present, of
 * their type and within their range; any other entry comes from another writer.
 */
final class RegistrationDecoder {
    /** Far above what a server can process at once. */
    private static final int MAX_SLOTS = 10_000;

    private static final long MAX_STATED_WARM_UP_MILLIS = Duration.ofDays(1).toMillis();
    /** A server is not treated as slow for longer. */
    private static final long MAX_WARM_UP_MILLIS = Duration.ofMinutes(10).toMillis();

    private static final int MAX_QUOTED = 40;
    /** The ID is sent as the value of a header. */
    private static final Pattern ID = Pattern.compile("[!-~]+");

    private RegistrationDecoder() {}

    /**
     * Decodes an entry.
     *
     * @param prefix what precedes the ID in the key
     * @throws IOException if the entry names no server to use
     */
    static UpstreamServer decode(String prefix, Entry entry) throws IOException {
        String id = entry.key().substring(prefix.length());
        if (!ID.matcher(id).matches()) {
            throw new IOException("ID: expected visible ASCII characters, got " + quoted(id));
        }
        JsonNode root = Json.readOnly(entry.value());
        if (!root.isObject()) {
            throw new IOException("registration: expected an object, got " + quoted(root.toString()));
        }
        String service = text(root, "service");
        if (service.isEmpty()) {
            throw new IOException("service: expected a name, got an empty string");
        }
        String address = text(root, "address");
        if (!NetworkAddress.isValid(address)) {
            throw new IOException("address: expected an IP address and a port, got " + quoted(address));
        }
        String dataCentre = text(root, "zone");
        text(root, "version");
        long slots = whole(root, "slots", 1, MAX_SLOTS);
        boolean leaving = isLeaving(text(root, "state"));
        long warmUpMillis = warmUpMillis(root);
        whole(root, "sequence", 0, Long.MAX_VALUE);
        long startedMillis = whole(root, "born", 0, Long.MAX_VALUE);
        return new UpstreamServer(id, startedMillis, service, address, dataCentre, (int) slots, leaving, warmUpMillis);
    }

    private static boolean isLeaving(String state) throws IOException {
        return switch (state) {
            case "ready" -> false;
            case "draining" -> true;
            default -> throw new IOException("state: expected ready or draining, got " + quoted(state));
        };
    }

    /** Unlike the other numbers, the platform does not state that it is whole. */
    private static long warmUpMillis(JsonNode root) throws IOException {
        JsonNode value = root.path("warmup_left_ms");
        double millis = value.asDouble(-1);
        if (!value.isNumber() || !(millis >= 0 && millis <= MAX_STATED_WARM_UP_MILLIS)) {
            throw new IOException("warmup_left_ms: expected a number from 0 to " + MAX_STATED_WARM_UP_MILLIS + ", got "
                    + quoted(value.toString()));
        }
        return Math.min(MAX_WARM_UP_MILLIS, (long) millis);
    }

    private static String text(JsonNode root, String field) throws IOException {
        JsonNode value = root.path(field);
        if (!value.isTextual()) {
            throw new IOException(field + ": expected a string, got " + quoted(value.toString()));
        }
        return value.textValue();
    }

    private static long whole(JsonNode root, String field, long least, long most) throws IOException {
        JsonNode value = root.path(field);
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.longValue() < least
                || value.longValue() > most) {
            throw new IOException(field + ": expected a whole number from " + least + " to " + most + ", got "
                    + quoted(value.toString()));
        }
        return value.longValue();
    }

    private static String quoted(String value) {
        return value.isEmpty() ? "nothing" : value.substring(0, Math.min(MAX_QUOTED, value.length()));
    }
}
