package org.auburnhoist.store;

import java.time.Duration;

/** Result of granting or renewing a lease. */
public sealed interface LeaseResult {
    /**
     * The lease is valid.
     *
     * @param leaseId names the lease
     * @param timeToLive granted time, counted from before the request was sent
     */
    record Granted(long leaseId, Duration timeToLive) implements LeaseResult {}

    /** The lease has expired. */
    record Expired() implements LeaseResult {}

    /**
     * The store did not answer.
     *
     * @param reason for logs and messages
     */
    record Unavailable(String reason) implements LeaseResult {}
}
