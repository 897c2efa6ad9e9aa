package org.auburnhoist.core.message;

/**
 * A host tells a coordinator that it is alive and what it knows.
 *
 * @param ready whether it takes callers
 * @param configurationVersion version of its traffic configuration, 0 if it has none
 * @param serversRevision store revision at which it last read or took over the servers, 0 if it never did
 * @param membersRevision store revision of its list of members, 0 if it has none
 */
public record StatusReport(boolean ready, long configurationVersion, long serversRevision, long membersRevision)
        implements Message {}
