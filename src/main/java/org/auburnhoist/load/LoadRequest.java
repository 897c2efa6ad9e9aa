package org.auburnhoist.load;

import org.auburnhoist.core.TrafficClass;

/**
 * One request of a load.
 *
 * @param number unique number, which is part of the path
 * @param offsetNanos scheduled time since the start of the load
 * @param team the sending team
 * @param trafficClass kind of work
 * @param path path with query
 * @param size bytes of the answer that a download asks for, -1 for other classes
 */
public record LoadRequest(
        long number, long offsetNanos, TeamLoad team, TrafficClass trafficClass, String path, long size) {
    /** The HTTP method. */
    public String method() {
        return trafficClass == TrafficClass.BOOKING ? "POST" : "GET";
    }
}
