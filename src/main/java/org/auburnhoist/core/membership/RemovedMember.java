package org.auburnhoist.core.membership;

import org.auburnhoist.core.HostId;

/**
 * A former member that still counts towards the quorums of older roster versions.
 *
 * @param id name and incarnation
 * @param joinedVersion first roster version with the member
 * @param removedVersion first roster version without the member
 */
public record RemovedMember(HostId id, long joinedVersion, long removedVersion) {}
