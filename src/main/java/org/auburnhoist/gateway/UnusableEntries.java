package org.auburnhoist.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.store.Entry;
import org.auburnhoist.support.Event;

/**
 * Logs and counts the entries of one kind that cannot be used, because another writer left them in the store. Each
 * state of an entry is logged once, not on every read. Confined to the control thread, except for the count.
 */
final class UnusableEntries {
    /** Bounds the memory; further entries are counted on each read and not logged. */
    private static final int MAX_LOGGED = 1_000;
    /** Bounds the line; the cause may quote the entry. */
    private static final int MAX_TEXT = 200;

    private final String event;
    private final Map<String, StorePosition> logged = new HashMap<>();
    private final AtomicLong count = new AtomicLong();

    /**
     * Creates an empty record.
     *
     * @param event name of the log line
     */
    UnusableEntries(String event) {
        this.event = event;
    }

    /** How many states of entries could not be used; may be called from any thread. */
    long count() {
        return count.get();
    }

    /** Records that an entry cannot be used. */
    void report(Entry entry, IOException cause) {
        boolean repeated = entry.position().equals(logged.get(entry.key()));
        if (repeated) {
            return;
        }
        count.incrementAndGet();
        if (logged.size() >= MAX_LOGGED && !logged.containsKey(entry.key())) {
            return;
        }
        logged.put(entry.key(), entry.position());
        Event.named(event)
                .with("key", bounded(entry.key()))
                .with("position", entry.position())
                .with("reason", bounded(String.valueOf(cause.getMessage())))
                .warn();
    }

    /** Forgets the entries that a complete read has not found. */
    void retain(List<Entry> found) {
        if (!logged.isEmpty()) {
            Set<String> keys = found.stream().map(Entry::key).collect(Collectors.toSet());
            logged.keySet().retainAll(keys);
        }
    }

    private static String bounded(String text) {
        return text.length() <= MAX_TEXT ? text : text.substring(0, MAX_TEXT) + "...";
    }
}
