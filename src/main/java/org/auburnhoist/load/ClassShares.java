package org.auburnhoist.load;

import org.auburnhoist.core.TrafficClass;

/**
 * Shares of the traffic classes in a load; they add up to 1. A team that may not send a class sends lookups instead.
 *
 * @param lookup share of lookups
 * @param booking share of bookings
 * @param download share of downloads
 */
public record ClassShares(double lookup, double booking, double download) {
    /** Mostly lookups, and a quarter of bookings. */
    public static final ClassShares STANDARD = new ClassShares(0.7, 0.25, 0.05);

    TrafficClass at(double draw) {
        if (draw < booking) {
            return TrafficClass.BOOKING;
        }
        return draw < booking + download ? TrafficClass.DOWNLOAD : TrafficClass.LOOKUP;
    }
}
