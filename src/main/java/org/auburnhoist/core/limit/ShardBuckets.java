package org.auburnhoist.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.configuration.Team;
import org.jspecify.annotations.Nullable;

/** Buckets with recorded state of one shard during one ownership period. */
final class ShardBuckets {
    private static final double NANOS_PER_SECOND = 1e9;

    private final OwnershipPeriod period;
    private final Map<BucketKey, Bucket> buckets = new HashMap<>();

    ShardBuckets(OwnershipPeriod period) {
        this.period = period;
    }

    OwnershipPeriod period() {
        return period;
    }

    int size() {
        return buckets.size();
    }

    /** Returns the bucket, refilled up to now; creates its record if it has none. */
    Bucket bucket(Team team, int number, long nowNanos, LimitSettings settings) {
        BucketKey key = new BucketKey(team.name(), number);
        @Nullable Bucket bucket = buckets.get(key);
        if (bucket == null) {
            BucketLimits limits = TeamBuckets.limits(team, number);
            bucket = new Bucket(limits, initialLevel(limits, nowNanos, settings), nowNanos);
            buckets.put(key, bucket);
        }
        bucket.refill(nowNanos, settings);
        return bucket;
    }

    /** Applies new limits to a recorded bucket; a bucket without a record gets the new limits on its first use. */
    void updateLimits(String team, int number, BucketLimits limits, long nowNanos, LimitSettings settings) {
        @Nullable Bucket bucket = buckets.get(new BucketKey(team, number));
        if (bucket != null) {
            bucket.refill(nowNanos, settings);
            bucket.updateLimits(limits);
        }
    }

    void evictFull(long nowNanos, LimitSettings settings) {
        buckets.values().removeIf(bucket -> {
            bucket.refill(nowNanos, settings);
            return bucket.isFull()
                    && initialLevel(bucket.limits(), nowNanos, settings)
                            >= bucket.limits().capacity();
        });
    }

    List<BucketState> export(long nowNanos, LimitSettings settings) {
        List<BucketState> states = new ArrayList<>();
        buckets.forEach((key, bucket) -> {
            bucket.refill(nowNanos, settings);
            states.add(new BucketState(key.team(), key.number(), bucket.limits(), bucket.level(), bucket.prefetched()));
        });
        return states;
    }

    void restore(BucketState state, long nowNanos) {
        Bucket bucket = new Bucket(state.limits(), state.level(), nowNanos);
        bucket.addPrefetched(state.prefetched());
        buckets.put(new BucketKey(state.team(), state.bucket()), bucket);
    }

    private double initialLevel(BucketLimits limits, long nowNanos, LimitSettings settings) {
        if (period.startsFull()) {
            return limits.capacity();
        }
        double seconds = Math.max(0, nowNanos - period.startNanos()) / NANOS_PER_SECOND;
        return Math.min(limits.capacity(), seconds * settings.refillRate(limits.ratePerSecond()));
    }

    private record BucketKey(String team, int number) {}
}
