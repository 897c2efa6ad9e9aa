package org.auburnhoist.support;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import java.util.logging.Level;

/**
 * Builds and writes one log line of key=value pairs.
 *
 * <pre>{@code
 * Event.named("host-started").with("name", name).with("port", port).log();
 * }</pre>
 *
 * <p>Values must never contain callers' keys.
 */
public final class Event {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final StringBuilder line;

    private Event(String name) {
        line = new StringBuilder(160).append("event=").append(name);
    }

    /** Starts a line for an event with a name, in lower case with hyphens. */
    public static Event named(String name) {
        return new Event(name);
    }

    /** Adds a pair; an empty value or one with spaces, control characters or {@code "=\} is quoted and escaped. */
    public Event with(String key, Object value) {
        line.append(' ').append(key).append('=');
        appendValue(String.valueOf(value));
        return this;
    }

    /** Writes the line at level CONFIG, for routine events; such lines are the first to be left out under load. */
    public void logRoutine() {
        write(Level.CONFIG);
    }

    /** Writes the line at level INFO. */
    public void log() {
        write(Level.INFO);
    }

    /** Writes the line at level WARNING. */
    public void warn() {
        write(Level.WARNING);
    }

    /** Logs without a log site: the lines do not show it, and determining it would walk the stack for each line. */
    private void write(Level level) {
        LOGGER.at(level).withInjectedLogSite(LogSite.INVALID).log("%s", line);
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private void appendValue(String value) {
        if (isPlain(value)) {
            line.append(value);
            return;
        }
        line.append('"');
        for (int index = 0; index < value.length(); index++) {
            appendEscaped(value.charAt(index));
        }
        line.append('"');
    }

    private void appendEscaped(char character) {
        if (character == '"' || character == '\\') {
            line.append('\\').append(character);
        } else if (character < ' ') {
            line.append(String.format("\\u%04x", (int) character));
        } else {
            line.append(character);
        }
    }

    private static boolean isPlain(String value) {
        if (value.isEmpty()) {
            return false;
        }
        for (int index = 0; index < value.length(); index++) {
            char character = value.charAt(index);
            if (character <= ' ' || character == '"' || character == '=' || character == '\\') {
                return false;
            }
        }
        return true;
    }
}
