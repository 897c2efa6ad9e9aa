package org.auburnhoist.store;

import java.util.List;
import org.auburnhoist.core.StorePosition;

/** Result of a read. */
public sealed interface ReadResult {
    /**
     * The read succeeded.
     *
     * @param entries the keys that exist, in key order
     * @param position the store's position at the time of the read
     */
    record Found(List<Entry> entries, StorePosition position) implements ReadResult {
        /** Copies the list. */
        public Found {
            entries = List.copyOf(entries);
        }
    }

    /**
     * No usable response came from the store.
     *
     * @param reason for logs and messages
     */
    record Unavailable(String reason) implements ReadResult {}
}
