package org.auburnhoist.core.operation;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.RecordedResponse;
import org.jspecify.annotations.Nullable;

/** The state of one claimed operation, kept by the home of the operation. */
final class OperationRecord {
    /** The state of an operation. */
    enum State {
        /** Its claim was released before the operation ran; it may be claimed again. */
        FREE,
        /** One host holds the claim and may run it. */
        RUNNING,
        /** An upstream answered. */
        DONE,
        /** It may have run; the outcome is not known. */
        UNKNOWN
    }

    final OperationId id;
    final String team;
    final long fingerprint;
    State state;
    HostId holder;
    long attempt;

    @Nullable
    RecordedResponse answer;

    OperationRecord(OperationId id, String team, long fingerprint, State state, HostId holder, long attempt) {
        this.id = id;
        this.team = team;
        this.fingerprint = fingerprint;
        this.state = state;
        this.holder = holder;
        this.attempt = attempt;
    }

    boolean isHeldBy(HostId host, long claimAttempt) {
        return holder.equals(host) && attempt == claimAttempt;
    }

    long answerBytes() {
        RecordedResponse recorded = answer;
        if (recorded == null) {
            return 0;
        }
        long headerBytes = recorded.headers().stream()
                .mapToLong(header ->
                        (long) header.getKey().length() + header.getValue().length())
                .sum();
        return recorded.body().length + headerBytes;
    }
}
