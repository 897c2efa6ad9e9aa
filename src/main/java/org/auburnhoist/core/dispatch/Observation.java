package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;

/**
 * The outcome of one attempt on a server.
 *
 * @param server the server's name
 * @param trafficClass class of the request
 * @param host the host that made the attempt
 * @param fingerprint hash of the request
 * @param outcome how the attempt ended
 * @param latencyMicros time to the first byte of the response or to the failure
 */
public record Observation(
        String server,
        TrafficClass trafficClass,
        HostId host,
        long fingerprint,
        AttemptOutcome outcome,
        long latencyMicros) {

    /** Whether the outcome counts as a failure of the server; shed load and abandoned attempts do not. */
    public boolean isFailure() {
        switch (outcome) {
            case SERVER_ERROR:
            case CONNECT_FAILED:
            case CONNECTION_LOST:
            case TIMEOUT:
            case TRUNCATED:
                return true;
            case SUCCESS:
            case SHED:
            case ABANDONED:
            default:
                return false;
        }
    }

    /** Whether the outcome provides information about the server's health. */
    public boolean isEvidence() {
        return outcome == AttemptOutcome.SUCCESS || isFailure();
    }
}
