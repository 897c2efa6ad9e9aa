package org.auburnhoist.core.message;

import org.auburnhoist.core.StorePosition;

/**
 * Periodic report (heartbeat) of a host to a coordinator, with the versions of the documents that the host has.
 *
 * @param ready whether it accepts callers
 * @param configurationVersion version of its traffic configuration, 0 if it has none
 * @param serversPosition store position at which it last read the servers or received them
 * @param serversHash hash of its list of servers
 * @param membersPosition store position of its list of members
 */
public record StatusReport(
        boolean ready,
        long configurationVersion,
        StorePosition serversPosition,
        long serversHash,
        StorePosition membersPosition)
        implements Message {}
