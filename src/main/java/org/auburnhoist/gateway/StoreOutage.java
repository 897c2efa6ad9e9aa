package org.auburnhoist.gateway;

import java.time.Duration;

/**
 * Remembers the last outage of the store, after which servers may be missing that are well: their registrations have
 * lapsed meanwhile and come back within a moment.
 *
 * <p>The outage ends with the first read that succeeds, also one of another host that told this one; a host that seldom
 * reads for itself would otherwise take a removal long after the outage for a registration that has lapsed.
 */
final class StoreOutage {
    /** Servers register anew within two seconds of the store's return; the rest is for one read. */
    private static final long REGISTRATION_GRACE_NANOS =
            Duration.ofMillis(2_500).toNanos();
    /** Registrations last for several heartbeats, which come about every second and a half. */
    private static final long SHORT_OUTAGE_NANOS = Duration.ofMillis(1_500).toNanos();

    private boolean inOutage;
    private long failedSince;
    private long lastFailure;
    private long endedAt;
    private boolean registrationsMayHaveExpired;

    /**
     * A read failed.
     *
     * @return whether this begins an outage
     */
    boolean readFailed(long nowNanos) {
        lastFailure = nowNanos;
        if (inOutage) {
            return false;
        }
        inOutage = true;
        failedSince = nowNanos;
        return true;
    }

    /**
     * A read that began at a time has succeeded, here or at another host.
     *
     * @return how long the outage lasted if this ends one, else -1, in nanoseconds
     */
    long readSucceeded(long startedNanos) {
        if (!inOutage || startedNanos - lastFailure < 0) {
            return -1;
        }
        inOutage = false;
        endedAt = startedNanos;
        registrationsMayHaveExpired = startedNanos - failedSince > SHORT_OUTAGE_NANOS;
        return startedNanos - failedSince;
    }

    /** Whether a server that is missing may still come back. */
    boolean mayLackRegistrations(long nowNanos) {
        return registrationsMayHaveExpired && nowNanos - endedAt <= REGISTRATION_GRACE_NANOS;
    }
}
