package org.auburnhoist.core.membership;

import org.auburnhoist.core.HostId;

/**
 * A member of the fleet, registered in the store under a lease.
 *
 * @param id name and incarnation
 * @param peerAddress IP address and port on which it listens for other hosts
 * @param callerAddress IP address and port on which it listens for callers
 * @param dataCentre name of its data centre
 * @param leaving whether it is being stopped and accepts no new callers
 * @param capacity processor share, the weight by which callers and responsibilities are distributed
 */
public record FleetMember(
        HostId id, String peerAddress, String callerAddress, String dataCentre, boolean leaving, double capacity) {
    /** Returns a copy that is marked as leaving. */
    public FleetMember asLeaving() {
        return new FleetMember(id, peerAddress, callerAddress, dataCentre, true, capacity);
    }
}
