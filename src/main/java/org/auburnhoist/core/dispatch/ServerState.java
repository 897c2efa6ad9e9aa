package org.auburnhoist.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.HostId;

/** State of one server in one traffic class. */
final class ServerState {
    /** Whether a server is in use. */
    enum Use {
        IN_USE,
        EJECTED,
        PROBATION
    }

    /** Healthy servers occasionally fail this share of requests; a lower share is not distinguishable from chance. */
    private static final double HEALTHY_FAILURE_SHARE = 0.02;

    private static final double HEALTHY_SLOW_SHARE = 0.05;

    final OutcomeWindow outcomes = new OutcomeWindow();
    final Cusum failures = new Cusum(HEALTHY_FAILURE_SHARE);
    final Cusum slowResponses = new Cusum(HEALTHY_SLOW_SHARE);
    final Map<HostId, Long> pathAvoidedUntil = new HashMap<>();
    Use use = Use.IN_USE;
    long useSinceNanos;
    long ejectedUntilNanos;
    boolean wasEjected;
    int repeatEjections;
    int probationSuccesses;
    int probationFailures;
    double badShare;
    long lastOutcomeNanos;
    long lastConnectionLostNanos;
    boolean hasLostConnection;
    boolean keptByFloorReported;

    boolean isOutOfUse() {
        return use != Use.IN_USE;
    }

    void resetOutcomes() {
        outcomes.clear();
        failures.reset();
        slowResponses.reset();
        keptByFloorReported = false;
    }

    void enter(Use next, long nowNanos) {
        use = next;
        useSinceNanos = nowNanos;
        probationSuccesses = 0;
        probationFailures = 0;
        resetOutcomes();
    }
}
