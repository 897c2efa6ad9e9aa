package org.auburnhoist.core.message;

/**
 * Answer to a {@link PullRequest}: the document versions that the answering host has and the ages of its information.
 *
 * @param rosterVersion version of its roster, whose order of members applies to the ages
 * @param configurationVersion version of its configuration
 * @param storeAge age of its information from the store in units of 100 ms, 255 for older or unknown
 * @param memberAges age of its information from each member, in roster order, in the same unit
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
