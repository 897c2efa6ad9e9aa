package org.auburnhoist.core.limit;

import java.util.Optional;

/** The shards from which this host may grant tokens. */
public interface ShardView {
    /** Returns the number of shards. */
    int shardCount();

    /** Returns the ownership period in which this host may grant tokens from a shard now, empty if it may not. */
    Optional<OwnershipPeriod> activePeriod(int shard, long nowNanos);
}
