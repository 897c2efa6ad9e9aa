package org.auburnhoist.core.operation;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.RecordedAnswer;
import org.jspecify.annotations.Nullable;

/** What a home remembers of one claimed operation. */
final class OperationRecord {
    /** State of an operation. */
    enum State {
        /** Claimed before and given back without having run. */
        FREE,
        /** One host may run it. */
        RUNNING,
        /** An upstream answered. */
        DONE,
        /** It may have run. */
        UNKNOWN
    }

    final OperationId id;
    final String team;
    final long fingerprint;
    State state;
    HostId holder;
    long attempt;

    @Nullable
    RecordedAnswer answer;

    OperationRecord(OperationId id, String team, long fingerprint, State state, HostId holder, long attempt) {
        this.id = id;
        this.team = team;
        this.fingerprint = fingerprint;
        this.state = state;
        this.holder = holder;
        this.attempt = attempt;
    }

    boolean isHeldBy(HostId host, long number) {
        return holder.equals(host) && attempt == number;
    }

    long answerBytes() {
        RecordedAnswer kept = answer;
        if (kept == null) {
            return 0;
        }
        long headerBytes = kept.headers().stream()
                .mapToLong(header ->
                        (long) header.getKey().length() + header.getValue().length())
                .sum();
        return kept.body().length + headerBytes;
    }
}
