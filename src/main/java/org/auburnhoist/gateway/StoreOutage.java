package org.auburnhoist.gateway;

import java.time.Duration;

/**
 * Tracks the last outage of the store. Healthy servers may be missing from the store after it, because their
 * registrations have expired during the outage; they register again shortly.
 *
 * <p>A store that is restored from a copy lacks registrations for the same time, however short the outage was.
 *
 * <p>The outage ends with the first successful read, by this host or by one that sent it a digest. A host that seldom
 * reads the store directly would otherwise mistake a removal long after the outage for an expired registration.
 */
final class StoreOutage {
    /** Servers register again within two seconds of the store's return; the rest is for one read. */
    private static final long REGISTRATION_GRACE_NANOS =
            Duration.ofMillis(2_500).toNanos();
    /**
     * No registration expires within this time after a read that lists it: registrations last for three heartbeats of
     * about 1.5 s, and the last heartbeat before the read was at most one interval earlier.
     */
    private static final long SAFE_AGE_NANOS = Duration.ofMillis(2_500).toNanos();

    private boolean inOutage;
    private long failedSince;
    private long lastReadNanos;
    private long lastFailure;
    private long endedAt;
    private boolean registrationsMayHaveExpired;
    private boolean restored;
    private long restoredAt;

    /**
     * Records a failed read.
     *
     * @param lastKnownReadNanos when this host or one that sent it a digest last read the store
     * @param nowNanos the current time
     * @return whether this begins an outage
     */
    boolean readFailed(long lastKnownReadNanos, long nowNanos) {
        lastFailure = nowNanos;
        if (inOutage) {
            return false;
        }
        inOutage = true;
        failedSince = nowNanos;
        lastReadNanos = lastKnownReadNanos;
        return true;
    }

    /**
     * Records a successful read of this or another host, which began at {@code startedNanos}.
     *
     * @return duration of the outage in nanoseconds if this read ends one, else -1
     */
    long readSucceeded(long startedNanos) {
        if (!inOutage || startedNanos - lastFailure < 0) {
            return -1;
        }
        inOutage = false;
        endedAt = startedNanos;
        registrationsMayHaveExpired = startedNanos - lastReadNanos > SAFE_AGE_NANOS;
        return startedNanos - failedSince;
    }

    /** Records that the store was restored from a copy, which may lack registrations, as a read has shown. */
    void storeRestored(long startedNanos) {
        restored = true;
        restoredAt = startedNanos;
    }

    /** Whether a missing server may still register again. */
    boolean mayLackRegistrations(long nowNanos) {
        boolean expired = registrationsMayHaveExpired && nowNanos - endedAt <= REGISTRATION_GRACE_NANOS;
        boolean lost = restored && nowNanos - restoredAt <= REGISTRATION_GRACE_NANOS;
        return expired || lost;
    }
}
