package org.auburnhoist.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.configuration.Team;
import org.jspecify.annotations.Nullable;

/** Recorded buckets of one shard during one ownership. */
final class ShardLevels {
    private static final double NANOS_PER_SECOND = 1e9;

    private final OwnershipPeriod grant;
    private final Map<BucketName, Bucket> buckets = new HashMap<>();

    ShardLevels(OwnershipPeriod grant) {
        this.grant = grant;
    }

    OwnershipPeriod grant() {
        return grant;
    }

    int size() {
        return buckets.size();
    }

    /** Returns the bucket, advanced to now, creating its record if it has none. */
    Bucket bucket(Team team, int number, long nowNanos, LimitSettings settings) {
        BucketName name = new BucketName(team.name(), number);
        @Nullable Bucket bucket = buckets.get(name);
        if (bucket == null) {
            BucketLimits limits = TeamBuckets.limits(team, number);
            bucket = new Bucket(limits, unrecordedLevel(limits, nowNanos, settings), nowNanos);
            buckets.put(name, bucket);
        }
        bucket.advance(nowNanos, settings);
        return bucket;
    }

    /** Uses new limits for a recorded bucket; one without a record takes the new limits when it is first used. */
    void change(String team, int number, BucketLimits limits, long nowNanos, LimitSettings settings) {
        @Nullable Bucket bucket = buckets.get(new BucketName(team, number));
        if (bucket != null) {
            bucket.advance(nowNanos, settings);
            bucket.changeLimits(limits);
        }
    }

    void forgetFull(long nowNanos, LimitSettings settings) {
        buckets.values().removeIf(bucket -> {
            bucket.advance(nowNanos, settings);
            return bucket.isFull()
                    && unrecordedLevel(bucket.limits(), nowNanos, settings)
                            >= bucket.limits().capacity();
        });
    }

    List<BucketLevel> export(long nowNanos, LimitSettings settings) {
        List<BucketLevel> levels = new ArrayList<>();
        buckets.forEach((name, bucket) -> {
            bucket.advance(nowNanos, settings);
            levels.add(new BucketLevel(name.team(), name.number(), bucket.limits(), bucket.level(), bucket.ahead()));
        });
        return levels;
    }

    void restore(BucketLevel from, long nowNanos) {
        Bucket bucket = new Bucket(from.limits(), from.level(), nowNanos);
        bucket.addAhead(from.ahead());
        buckets.put(new BucketName(from.team(), from.bucket()), bucket);
    }

    private double unrecordedLevel(BucketLimits limits, long nowNanos, LimitSettings settings) {
        if (grant.startsFull()) {
            return limits.capacity();
        }
        double seconds = Math.max(0, nowNanos - grant.startNanos()) / NANOS_PER_SECOND;
        return Math.min(limits.capacity(), seconds * settings.accrual(limits.ratePerSecond()));
    }

    private record BucketName(String team, int number) {}
}
