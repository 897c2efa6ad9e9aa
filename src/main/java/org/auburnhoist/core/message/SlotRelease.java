package org.auburnhoist.core.message;

/**
 * Returns a slot and reports what happened.
 *
 * @param service the service's name
 * @param grantId the grant
 * @param outcome how the attempt ended
 * @param latencyMicros time from sending the request to the first byte of the answer or to the failure
 */
public record SlotRelease(String service, long grantId, AttemptOutcome outcome, long latencyMicros)
        implements Message {}
