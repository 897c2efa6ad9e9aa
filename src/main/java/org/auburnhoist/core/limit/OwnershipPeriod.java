package org.auburnhoist.core.limit;

/**
 * A period in which this host owns a shard and may grant tokens from it.
 *
 * @param ownedSinceVersion roster version at which the ownership began
 * @param startNanos time from which tokens accrue in buckets without recorded state
 * @param startsFull whether buckets without recorded state are full, because the shard never had another owner
 */
public record OwnershipPeriod(long ownedSinceVersion, long startNanos, boolean startsFull) {}
