package org.auburnhoist.core.limit;

import org.auburnhoist.core.StableHash;
import org.auburnhoist.core.configuration.Team;

/** Splits a team's limits between its two buckets and assigns these to shards. */
public final class TeamBuckets {
    /** Buckets of each team; the second has capacity 0 if the burst is less than 2. */
    public static final int COUNT = 2;

    private TeamBuckets() {}

    /** Returns the shard that holds a bucket; the shards of a team's buckets have different owners if possible. */
    public static int shard(String team, int bucket, int shardCount) {
        int first = (int) Long.remainderUnsigned(StableHash.of(team), shardCount);
        return (first + bucket * (shardCount / COUNT)) % shardCount;
    }

    /** Returns a bucket's part of the team's limits. */
    public static BucketLimits limits(Team team, int bucket) {
        if (team.burst() < COUNT) {
            return bucket == 0 ? new BucketLimits(team.ratePerSecond(), team.burst()) : BucketLimits.NONE;
        }
        int burst = bucket == 0 ? team.burst() - team.burst() / 2 : team.burst() / 2;
        return new BucketLimits(team.ratePerSecond() / COUNT, burst);
    }
}
