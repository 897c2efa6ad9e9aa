package org.auburnhoist.core.message;

/**
 * Returns a slot and reports what happened.
 *
 * @param service the service's name
 * @param grantId the grant
 * @param outcome how the attempt ended
 * @param latencyMicros time from sending the request to the first byte of the answer or to the failure
 * @param notice what the server said about further requests of the releasing host
 */
public record SlotRelease(String service, long grantId, AttemptOutcome outcome, long latencyMicros, ServerNotice notice)
        implements Message {
    /** The release after an attempt whose server said nothing about further requests. */
    public SlotRelease(String service, long grantId, AttemptOutcome outcome, long latencyMicros) {
        this(service, grantId, outcome, latencyMicros, ServerNotice.NONE);
    }
}
