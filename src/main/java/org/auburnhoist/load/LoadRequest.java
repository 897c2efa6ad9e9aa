package org.auburnhoist.load;

import org.auburnhoist.core.TrafficClass;

/**
 * One request of a load.
 *
 * @param number unique number, which is part of the path
 * @param offsetNanos scheduled time relative to the start of the load
 * @param team the sending team
 * @param trafficClass class of the request
 * @param path path with query
 * @param size size in bytes that a download requests, -1 for other classes
 */
public record LoadRequest(
        long number, long offsetNanos, TeamLoad team, TrafficClass trafficClass, String path, long size) {
    /** Returns the HTTP method. */
    public String method() {
        return trafficClass == TrafficClass.BOOKING ? "POST" : "GET";
    }
}
