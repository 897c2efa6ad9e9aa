package org.auburnhoist.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.auburnhoist.support.Event;

/**
 * Reads the record that the hosts of this process write: changes in the judgement of servers, and how often each event
 * came. While it is open, the record goes to the log only if that is wanted.
 */
final class HealthLogHandler extends Handler implements AutoCloseable {
    private static final Pattern EVENT = Pattern.compile("event=(\\S+)");
    private static final Pattern PAIR = Pattern.compile("(server|class|change|reason)=(\"[^\"]*\"|\\S+)");

    // A logger without a strong reference may be collected, and its settings with it.
    private final Logger logger = Logger.getLogger(Event.class.getName());
    private final boolean parentHandlers = logger.getUseParentHandlers();
    private final List<Change> changes = new ArrayList<>();
    private final Map<String, Long> counts = new HashMap<>();

    /**
     * A change in the judgement of a server.
     *
     * @param nanos when it was recorded
     */
    record Change(long nanos, String server, String trafficClass, String kind, String reason) {}

    /** Opens the record; {@code logged} tells whether the lines go to the process's log as well. */
    HealthLogHandler(boolean logged) {
        setLevel(Level.ALL);
        logger.setUseParentHandlers(logged);
        logger.addHandler(this);
    }

    /** All changes so far. */
    synchronized List<Change> changes() {
        return List.copyOf(changes);
    }

    /** How often an event was recorded. */
    synchronized long count(String event) {
        return counts.getOrDefault(event, 0L);
    }

    @Override
    public void publish(LogRecord logged) {
        String message = String.valueOf(logged.getMessage());
        String line = message.equals("%s") && logged.getParameters() != null && logged.getParameters().length == 1
                ? String.valueOf(logged.getParameters()[0])
                : message;
        Matcher event = EVENT.matcher(line);
        if (!event.lookingAt()) {
            return;
        }
        synchronized (this) {
            counts.merge(event.group(1), 1L, Long::sum);
            if (event.group(1).equals("server-health")) {
                changes.add(change(line));
            }
        }
    }

    @Override
    public void flush() {
        // Nothing is buffered.
    }

    @Override
    public void close() {
        logger.removeHandler(this);
        logger.setUseParentHandlers(parentHandlers);
    }

    private static Change change(String line) {
        Map<String, String> pairs = new HashMap<>();
        Matcher pair = PAIR.matcher(line);
        while (pair.find()) {
            pairs.put(pair.group(1), pair.group(2).replace("\"", ""));
        }
        return new Change(
                System.nanoTime(),
                pairs.getOrDefault("server", ""),
                pairs.getOrDefault("class", ""),
                pairs.getOrDefault("change", ""),
                pairs.getOrDefault("reason", ""));
    }
}
