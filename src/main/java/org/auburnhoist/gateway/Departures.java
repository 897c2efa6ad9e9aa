package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which entries of a list have left it, so that a store that was restored from an older copy does not bring
 * them back. Not thread-safe.
 *
 * <p>The copy's entry of a process that has ended expires, since nothing renews it; an entry that stays belongs to a
 * process that still runs and is believed again after that time.
 *
 * @param <K> identifies one incarnation of a server or host
 */
final class Departures<K> {
    /** Registrations of silent servers are removed after three heartbeats of 1.5 s; the rest is for two reads. */
    static final Duration HOLD_BACK_TIME = Duration.ofMillis(6_500);
    /** Copies are seconds old; an entry that left earlier than this is not in the copy. */
    private static final long MEMORY_NANOS = Duration.ofMinutes(10).toNanos();

    private final Map<K, Long> departedAt = new HashMap<>();
    private boolean restored;
    private long restoredAtNanos;

    /**
     * Records that a list has replaced another.
     *
     * @param before what was listed; entries that are listed no more have departed, unless a copy has lost them
     * @param after what is listed
     * @param leaving the listed entries that are marked as leaving, which have departed, too
     * @param laterEra whether the store was restored from a copy between the two lists
     * @param nowNanos the current time
     */
    void listReplaced(
            Collection<K> before, Collection<K> after, Collection<K> leaving, boolean laterEra, long nowNanos) {
        departedAt.values().removeIf(at -> nowNanos - at > MEMORY_NANOS);
        Set<K> present = new HashSet<>(after);
        if (!holdsBack(nowNanos)) {
            // An entry can expire and come back within an era, because its process was cut off from the store.
            departedAt.keySet().removeAll(present);
        }
        if (!laterEra) {
            before.stream().filter(key -> !present.contains(key)).forEach(key -> departedAt.put(key, nowNanos));
        }
        leaving.forEach(key -> departedAt.put(key, nowNanos));
    }

    /** Records that the store was restored, as a read that began at {@code readNanos} has shown. */
    void storeRestored(long readNanos) {
        restored = true;
        restoredAtNanos = readNanos;
    }

    /** Whether an entry that the store lists may come from the copy only, although its process has left. */
    boolean isHeldBack(K key, long nowNanos) {
        return holdsBack(nowNanos) && departedAt.containsKey(key);
    }

    private boolean holdsBack(long nowNanos) {
        return restored && nowNanos - restoredAtNanos <= HOLD_BACK_TIME.toNanos();
    }
}
