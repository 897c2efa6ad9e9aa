package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;

/**
 * A slot in use.
 *
 * @param id identifies the grant in its release
 * @param server the server's name
 * @param host the host that holds the slot
 * @param trafficClass class of the request
 * @param fingerprint hash of the request
 * @param grantedNanos when the slot was granted
 * @param expiresNanos when the slot becomes free if it has not been released
 */
record Grant(
        long id,
        String server,
        HostId host,
        TrafficClass trafficClass,
        long fingerprint,
        long grantedNanos,
        long expiresNanos) {}
