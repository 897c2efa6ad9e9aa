package org.auburnhoist.core.message;

/**
 * A coordinator's answer to a {@link StatusReport}: what the asking host does not know yet.
 *
 * @param storeAgeMillis how long ago the coordinator last read the store successfully, negative if it never did
 * @param configurationVersion version of the coordinator's traffic configuration
 * @param configuration the compressed configuration, empty if the asking host has it
 * @param serversRevision store revision of the coordinator's list of servers
 * @param servers the compressed list, empty if the asking host has it
 * @param membersRevision store revision of the coordinator's list of members
 * @param members the compressed list, empty if the asking host has it
 * @param memberNamesHash hash of the names of the members that the silences stand for
 * @param contactAges for each member in the order of names: 0 if not ready, else 1 plus the time since it was last
 *     heard of in units of 50 ms, at most 255
 */
@SuppressWarnings("ArrayRecordComponent")
public record StatusDigest(
        long storeAgeMillis,
        long configurationVersion,
        byte[] configuration,
        long serversRevision,
        byte[] servers,
        long membersRevision,
        byte[] members,
        long memberNamesHash,
        byte[] contactAges)
        implements Message {}
