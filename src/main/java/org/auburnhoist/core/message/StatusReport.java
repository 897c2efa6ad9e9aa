package org.auburnhoist.core.message;

/**
 * Periodic report (heartbeat) of a host to a coordinator, with the versions of the documents that the host has.
 *
 * @param ready whether it accepts callers
 * @param configurationVersion version of its traffic configuration, 0 if it has none
 * @param serversRevision store revision at which it last read the servers or received them, 0 if it never did
 * @param membersRevision store revision of its list of members, 0 if it has none
 */
public record StatusReport(boolean ready, long configurationVersion, long serversRevision, long membersRevision)
        implements Message {}
