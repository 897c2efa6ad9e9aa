package org.auburnhoist.core.dispatch;

import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;

/**
 * A slot in use.
 *
 * @param id names the grant in its release
 * @param server the server's name
 * @param host the host that holds it
 * @param trafficClass kind of work
 * @param fingerprint hash of the request
 * @param grantedNanos when it was granted
 * @param expiresNanos when the slot is taken back if no release has come
 */
record Grant(
        long id,
        String server,
        HostId host,
        TrafficClass trafficClass,
        long fingerprint,
        long grantedNanos,
        long expiresNanos) {}
