package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.TrafficClass;

/**
 * A change in the judgement of a server, for the record and the metrics.
 *
 * @param server the server's name
 * @param trafficClass the class of work judged
 * @param kind what changed
 * @param reason the reason, in one sentence
 */
public record HealthChange(String server, TrafficClass trafficClass, Kind kind, String reason) {
    /** Kinds of change. */
    public enum Kind {
        /** The server gets no work of the class. */
        EJECTED,
        /** The server would have been ejected, but the floor forbids it. */
        KEPT_BY_FLOOR,
        /** An ejected server gets a small amount of real work. */
        PROBATION,
        /** The server gets its full share again. */
        READMITTED,
        /** One host fails with a server on which others succeed; only that host avoids it. */
        PATH_AVOIDED
    }
}
