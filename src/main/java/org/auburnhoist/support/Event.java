package org.auburnhoist.support;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import java.util.logging.Level;

/**
 * One log line of key=value pairs.
 *
 * <pre>{@code
 * Event.named("host-started").with("name", name).with("port", port).log();
 * }</pre>
 *
 * <p>Keys of callers must never be passed as values.
 */
public final class Event {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final StringBuilder line;

    private Event(String name) {
        line = new StringBuilder(160).append("event=").append(name);
    }

    /** Starts an event with its name, in lower case with hyphens. */
    public static Event named(String name) {
        return new Event(name);
    }

    /** Adds a pair; a value with spaces, quotes or line ends is quoted and escaped. */
    public Event with(String key, Object value) {
        line.append(' ').append(key).append('=');
        appendValue(String.valueOf(value));
        return this;
    }

    /** Writes the line at level CONFIG, for routine work; such lines are the first to be left out under load. */
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

    /** The place of the call is not part of a line, and finding it walks the stack for each line. */
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
