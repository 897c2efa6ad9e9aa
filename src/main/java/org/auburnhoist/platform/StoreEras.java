package org.auburnhoist.platform;

import java.time.Duration;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * The eras that the store's responses name. The number rises each time the store is restored from a copy.
 *
 * <p>A higher number counts once two responses have named it, so that one malformed response does not make the
 * following ones look outdated. A response that names a lower number than before was given before the store was
 * restored. Thread-safe.
 */
final class StoreEras {
    private static final long LOG_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();

    private long current;
    private boolean known;
    private boolean confirmed;
    /** A higher era that one response has named, 0 if none has. */
    private long candidate;

    private boolean hasLogged;
    private long loggedAtNanos;

    /** What the era of a response says about the response. */
    enum Standing {
        /** The response is of the current era. */
        CURRENT,
        /** It is the first one to name a higher era. */
        UNCONFIRMED,
        /** It was given before the store was restored. */
        OUTDATED
    }

    /**
     * The era of a response.
     *
     * @param number the era's number, 0 if the store does not name it
     * @param standing what it says about the response
     */
    record ResponseEra(long number, Standing standing) {}

    /**
     * Returns the era of a response.
     *
     * @param header what the response names as its era, null if it names none
     * @param nowNanos the current time
     */
    synchronized ResponseEra eraOf(@Nullable String header, long nowNanos) {
        long named = parse(header);
        if (named < 0) {
            if (known || header != null) {
                logUnexpected(header == null ? "none" : header, nowNanos);
            }
            return new ResponseEra(current, Standing.CURRENT);
        }
        if (!known || (named < current && !confirmed)) {
            known = true;
            current = named;
            return new ResponseEra(named, Standing.CURRENT);
        }
        if (named < current) {
            logUnexpected(Long.toString(named), nowNanos);
            return new ResponseEra(named, Standing.OUTDATED);
        }
        if (named > current && named != candidate) {
            candidate = named;
            return new ResponseEra(named, Standing.UNCONFIRMED);
        }
        if (named > current) {
            Event.named("store-era-changed")
                    .with("earlier", current)
                    .with("era", named)
                    .log();
            current = named;
        }
        confirmed = true;
        candidate = 0;
        return new ResponseEra(named, Standing.CURRENT);
    }

    /** Returns -1 for anything but a number from 0. */
    private static long parse(@Nullable String header) {
        try {
            return header == null ? -1 : Long.parseLong(header);
        } catch (NumberFormatException malformed) {
            return -1;
        }
    }

    private void logUnexpected(String named, long nowNanos) {
        if (hasLogged && nowNanos - loggedAtNanos < LOG_INTERVAL_NANOS) {
            return;
        }
        hasLogged = true;
        loggedAtNanos = nowNanos;
        Event.named("store-era-unexpected")
                .with("named", named)
                .with("current", current)
                .warn();
    }
}
