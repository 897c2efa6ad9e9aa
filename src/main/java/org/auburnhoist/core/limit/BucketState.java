package org.auburnhoist.core.limit;

/**
 * State of one bucket in a handover.
 *
 * @param team team name
 * @param bucket 0 or 1
 * @param limits limits under which the level accrued
 * @param level available tokens
 * @param prefetched prefetched tokens that may still be unused
 */
record BucketState(String team, int bucket, BucketLimits limits, double level, int prefetched) {}
