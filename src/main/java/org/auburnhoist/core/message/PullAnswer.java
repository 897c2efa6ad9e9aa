package org.auburnhoist.core.message;

/**
 * What the answering host knows.
 *
 * @param rosterVersion version of its roster, to whose member order the ages refer
 * @param configurationVersion version of its configuration
 * @param storeAge age of its knowledge of the store in units of 100 ms, 255 for older or unknown
 * @param memberAges age of its knowledge of each member, in roster order, in the same unit
 * @param acknowledgedRosters for each member in roster order, whether it is known to have this roster version
 * @param acknowledgedConfigurations for each member in roster order, whether it is known to have this configuration
 *     version
 */
@SuppressWarnings("ArrayRecordComponent")
public record PullAnswer(
        long rosterVersion,
        long configurationVersion,
        int storeAge,
        byte[] memberAges,
        byte[] acknowledgedRosters,
        byte[] acknowledgedConfigurations)
        implements Message {}
