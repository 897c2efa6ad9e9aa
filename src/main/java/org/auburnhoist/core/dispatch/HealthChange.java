package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.TrafficClass;

/**
 * A change in the health state of a server, for the log and the metrics.
 *
 * @param server the server's name
 * @param trafficClass the traffic class that the change applies to
 * @param kind what changed
 * @param reason the reason, as a short text
 */
public record HealthChange(String server, TrafficClass trafficClass, Kind kind, String reason) {
    /** Kinds of health state changes. */
    public enum Kind {
        /** The server receives no requests of the class. */
        EJECTED,
        /** The server was not ejected because the floor does not allow it. */
        KEPT_BY_FLOOR,
        /** An ejected server receives a small number of requests. */
        PROBATION,
        /** The server receives its full share of requests again. */
        READMITTED,
        /** Attempts of one host fail on a server while those of other hosts succeed; only that host avoids it. */
        PATH_AVOIDED
    }
}
