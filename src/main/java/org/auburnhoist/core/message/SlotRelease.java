package org.auburnhoist.core.message;

/**
 * Releases a granted slot and reports the outcome of the attempt.
 *
 * @param service the service's name
 * @param grantId identifier of the grant
 * @param outcome outcome of the attempt
 * @param latencyMicros time from sending the request to the first byte of the answer or to the failure
 * @param notice flow control information from the server for the releasing host
 */
public record SlotRelease(String service, long grantId, AttemptOutcome outcome, long latencyMicros, ServerNotice notice)
        implements Message {
    /** Creates a release without flow control information from the server. */
    public SlotRelease(String service, long grantId, AttemptOutcome outcome, long latencyMicros) {
        this(service, grantId, outcome, latencyMicros, ServerNotice.NONE);
    }
}
