package org.auburnhoist.core.membership;

import org.auburnhoist.core.HostId;

/**
 * A host in the roster.
 *
 * @param id name and incarnation
 * @param peerAddress address and port on which it listens for other hosts
 * @param callerAddress address and port on which it listens for callers
 * @param dataCentre name of its data centre
 * @param state whether it accepts new callers
 * @param joinedVersion roster version at which it joined
 */
public record Member(
        HostId id, String peerAddress, String callerAddress, String dataCentre, MemberState state, long joinedVersion) {

    Member withState(MemberState newState) {
        return new Member(id, peerAddress, callerAddress, dataCentre, newState, joinedVersion);
    }

    Member withJoinedVersion(long version) {
        return new Member(id, peerAddress, callerAddress, dataCentre, state, version);
    }
}
