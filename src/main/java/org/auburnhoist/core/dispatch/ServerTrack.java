package org.auburnhoist.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.HostId;

/** What a judge knows of one server in one class. */
final class ServerTrack {
    /** Use of a server. */
    enum State {
        IN_USE,
        EJECTED,
        PROBATION
    }

    /** Healthy servers fail this share now and then; below it, failures are not told apart from chance. */
    private static final double LEAST_FAILURE_SHARE = 0.02;

    private static final double LEAST_SLOW_SHARE = 0.05;

    final Evidence evidence = new Evidence();
    final LikelihoodSum failures = new LikelihoodSum(LEAST_FAILURE_SHARE);
    final LikelihoodSum slowAnswers = new LikelihoodSum(LEAST_SLOW_SHARE);
    final Map<HostId, Long> avoidedUntil = new HashMap<>();
    State state = State.IN_USE;
    long stateNanos;
    long ejectedUntilNanos;
    boolean ejectedBefore;
    int relapses;
    int probationSuccesses;
    int probationFailures;
    double badness;
    long lastOutcomeNanos;
    long lastConnectionLostNanos;
    boolean connectionWasLost;
    boolean keptByFloorReported;

    boolean isOutOfUse() {
        return state != State.IN_USE;
    }

    void resetEvidence() {
        evidence.clear();
        failures.reset();
        slowAnswers.reset();
        keptByFloorReported = false;
    }

    void enter(State next, long nowNanos) {
        state = next;
        stateNanos = nowNanos;
        probationSuccesses = 0;
        probationFailures = 0;
        resetEvidence();
    }
}
