package org.auburnhoist.core.message;

import org.auburnhoist.core.StorePosition;

/**
 * A coordinator's answer to a {@link StatusReport}: the documents that the reporting host does not have yet.
 *
 * @param storeAgeMillis how long ago the coordinator last read the store successfully, negative if it never did
 * @param configurationVersion version of the coordinator's traffic configuration
 * @param configuration the compressed configuration, empty if the reporting host has it
 * @param serversPosition latest store position at which the coordinator's list of servers is known to hold
 * @param servers the compressed list, empty if the reporting host has it
 * @param membersPosition store position of the coordinator's list of members
 * @param members the compressed list, empty if the reporting host has it
 * @param memberNamesHash hash of the names of the members to which the contact ages refer
 * @param contactAges for each member, sorted by name: 0 if not ready, otherwise 1 plus the time since the last contact
 *     in units of 50 ms, at most 255
 */
@SuppressWarnings("ArrayRecordComponent")
public record StatusDigest(
        long storeAgeMillis,
        long configurationVersion,
        byte[] configuration,
        StorePosition serversPosition,
        byte[] servers,
        StorePosition membersPosition,
        byte[] members,
        long memberNamesHash,
        byte[] contactAges)
        implements Message {}
