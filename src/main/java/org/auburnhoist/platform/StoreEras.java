package org.auburnhoist.platform;

import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** The eras that the store's responses name; the number rises each time the store is restored from a copy. */
final class StoreEras {
    private long current;

    /**
     * Returns the era of a response.
     *
     * @param header what the response names as its era, null if it names none
     * @param nowNanos the current time
     */
    synchronized long eraOf(@Nullable String header, long nowNanos) {
        long named;
        try {
            named = header == null ? current : Long.parseLong(header);
        } catch (NumberFormatException malformed) {
            named = current;
        }
        if (named > current) {
            Event.named("store-era-changed")
                    .with("earlier", current)
                    .with("era", named)
                    .log();
            current = named;
        }
        return named;
    }
}
