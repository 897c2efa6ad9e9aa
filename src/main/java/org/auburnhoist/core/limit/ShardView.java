package org.auburnhoist.core.limit;

import java.util.Optional;

/** Tells from which shards this host may grant. */
public interface ShardView {
    /** Returns the number of shards. */
    int shardCount();

    /** Returns the permission to grant from a shard now, empty if this host may not. */
    Optional<OwnershipPeriod> activePeriod(int shard, long nowNanos);
}
