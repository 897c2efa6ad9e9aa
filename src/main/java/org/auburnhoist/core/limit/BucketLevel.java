package org.auburnhoist.core.limit;

/**
 * State of one bucket in a handover.
 *
 * @param team team name
 * @param bucket 0 or 1
 * @param limits limits under which the level accrued
 * @param level tokens
 * @param ahead tokens granted ahead of use that may not have been used yet
 */
record BucketLevel(String team, int bucket, BucketLimits limits, double level, int ahead) {}
