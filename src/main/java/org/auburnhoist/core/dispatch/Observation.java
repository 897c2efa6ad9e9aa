package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;

/**
 * How one attempt on a server ended.
 *
 * @param server the server's name
 * @param trafficClass kind of work
 * @param host the entry host that made the attempt
 * @param fingerprint hash of the request
 * @param outcome how it ended
 * @param latencyMicros time to the first byte of the answer or to the failure
 */
public record Observation(
        String server,
        TrafficClass trafficClass,
        HostId host,
        long fingerprint,
        AttemptOutcome outcome,
        long latencyMicros) {

    /** Whether the outcome speaks against the server; shed load and abandoned attempts do not. */
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

    /** Whether the outcome says anything about the server's health. */
    public boolean isEvidence() {
        return outcome == AttemptOutcome.SUCCESS || isFailure();
    }
}
