package org.auburnhoist.store;

import java.time.Duration;

/** Result of granting or renewing a lease. */
public sealed interface LeaseResult {
    /**
     * The lease is valid.
     *
     * @param leaseId ID of the lease
     * @param timeToLive granted time, which the caller must count from before it sent the request
     * @param era era of the store that holds the lease, 0 if the store does not name it
     */
    record Granted(long leaseId, Duration timeToLive, long era) implements LeaseResult {}

    /** The lease has expired. */
    record Expired() implements LeaseResult {}

    /**
     * No usable response came from the store.
     *
     * @param reason for logs and messages
     */
    record Unavailable(String reason) implements LeaseResult {}
}
