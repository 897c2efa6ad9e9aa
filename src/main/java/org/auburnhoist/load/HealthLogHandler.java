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
 * Log handler that collects the events which the hosts of this process log: health changes of servers, and the number
 * of each event. While it is open, the events reach the log of the process only if that is requested.
 */
final class HealthLogHandler extends Handler implements AutoCloseable {
    private static final Pattern EVENT = Pattern.compile("event=(\\S+)");
    private static final Pattern PAIR = Pattern.compile("(server|class|change|reason)=(\"[^\"]*\"|\\S+)");

    // A logger without a strong reference may be garbage collected, and its settings are lost with it.
    private final Logger logger = Logger.getLogger(Event.class.getName());
    private final boolean parentHandlers = logger.getUseParentHandlers();
    private final List<Change> changes = new ArrayList<>();
    private final Map<String, Long> counts = new HashMap<>();

    /**
     * A health change of a server.
     *
     * @param nanos time at which the handler received the event
     */
    record Change(long nanos, String server, String trafficClass, String kind, String reason) {}

    /** Attaches the handler; {@code logged} tells whether the events are also written to the log of the process. */
    HealthLogHandler(boolean logged) {
        setLevel(Level.ALL);
        logger.setUseParentHandlers(logged);
        logger.addHandler(this);
    }

    /** Returns all health changes so far. */
    synchronized List<Change> changes() {
        return List.copyOf(changes);
    }

    /** Returns how often an event was logged. */
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
