package org.auburnhoist.cli;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One line of a host's log.
 *
 * @param time when it was written, by the host's clock
 * @param file the file that it comes from
 * @param fields the key-value pairs of the line in their order
 * @param text the line as it was written
 */
record LogLine(Instant time, String file, Map<String, String> fields, String text) {
    /** Parses a line; returns null if it is not a log line of this program. */
    static @Nullable LogLine parse(String file, String text) {
        // Log collectors often add a prefix to the line.
        int start = text.indexOf("time=");
        if (start < 0) {
            return null;
        }
        String line = text.substring(start);
        Map<String, String> fields = fields(line);
        String time = fields.get("time");
        if (time == null || !fields.containsKey("event")) {
            return null;
        }
        try {
            return new LogLine(Instant.parse(time), file, fields, line);
        } catch (DateTimeException malformed) {
            return null;
        }
    }

    String event() {
        return field("event");
    }

    /** A field's value, empty if it is missing. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    private static Map<String, String> fields(String line) {
        Map<String, String> fields = new LinkedHashMap<>();
        int position = 0;
        while (position < line.length()) {
            int equals = line.indexOf('=', position);
            if (equals < 0) {
                break;
            }
            int end = valueEnd(line, equals + 1);
            String value = line.substring(equals + 1, end);
            boolean quoted = value.length() > 1 && value.startsWith("\"");
            fields.put(
                    line.substring(position, equals).strip(), quoted ? value.substring(1, value.length() - 1) : value);
            position = end + 1;
        }
        return fields;
    }

    private static int valueEnd(String line, int start) {
        boolean quoted = start < line.length() && line.charAt(start) == '"';
        for (int index = quoted ? start + 1 : start; index < line.length(); index++) {
            char character = line.charAt(index);
            if (quoted && character == '\\') {
                index++;
            } else if (quoted && character == '"') {
                return index + 1;
            } else if (!quoted && character == ' ') {
                return index;
            }
        }
        return line.length();
    }
}
