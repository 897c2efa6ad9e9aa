package org.auburnhoist.core.membership;

import org.auburnhoist.core.HostId;

/**
 * A host whose membership a lease in the store keeps alive.
 *
 * @param id name and incarnation
 * @param peerAddress IP address and port for other hosts
 * @param callerAddress IP address and port for callers
 * @param dataCentre name of its data centre
 * @param leaving whether it is being stopped and takes no new callers
 * @param capacity processor share, for dividing callers and duties
 */
public record FleetMember(
        HostId id, String peerAddress, String callerAddress, String dataCentre, boolean leaving, double capacity) {
    /** The same member, being stopped. */
    public FleetMember asLeaving() {
        return new FleetMember(id, peerAddress, callerAddress, dataCentre, true, capacity);
    }
}
