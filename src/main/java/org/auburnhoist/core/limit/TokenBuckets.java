package org.auburnhoist.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.core.message.TokenReturn;
import org.jspecify.annotations.Nullable;

/**
 * The buckets of the shards that this host owns.
 *
 * <p>A bucket without recorded state is full if the shard never had another owner, and otherwise was empty when the
 * ownership period began. So a takeover never grants a second burst, and idle teams need no memory.
 *
 * <pre>{@code
 * TokenBuckets buckets = new TokenBuckets(new ShardOwnership(table, settings), LimitSettings.STANDARD);
 * buckets.configure(configuration.teams(), now);
 * TokenAnswer answer = buckets.request(new TokenRequest("county-office", 0, 1), now);
 * }</pre>
 */
public final class TokenBuckets {
    private static final TokenAnswer NOT_OWNER = new TokenAnswer(false, 0, 0);
    private static final TokenAnswer UNKNOWN_TEAM = new TokenAnswer(true, 0, 1_000);

    private final ShardView view;
    private final LimitSettings settings;
    private final Map<Integer, ShardBuckets> shards = new HashMap<>();
    private Map<String, Team> teams = Map.of();

    /** Creates buckets without recorded state and without teams. */
    public TokenBuckets(ShardView view, LimitSettings settings) {
        this.view = view;
        this.settings = settings;
    }

    /**
     * Applies the limits of a newer configuration.
     *
     * <p>A level is capped by the new burst and never raised. The levels of a removed team are kept until they are
     * full, so adding the team again does not grant a second burst.
     */
    public void configure(Map<String, Team> newTeams, long nowNanos) {
        teams.values().forEach(before -> {
            @Nullable Team after = newTeams.get(before.name());
            if (after == null || !before.equals(after)) {
                updateTeam(before, after, nowNanos);
            }
        });
        newTeams.values().forEach(after -> {
            if (!teams.containsKey(after.name())) {
                addTeam(after, nowNanos);
            }
        });
        teams = Map.copyOf(newTeams);
    }

    /** Grants tokens, or returns the time until the next one is available. */
    public TokenAnswer request(TokenRequest request, long nowNanos) {
        if (isMalformed(request.bucket(), request.wanted())) {
            return NOT_OWNER;
        }
        @Nullable Team team = teams.get(request.team());
        int shard = TeamBuckets.shard(request.team(), request.bucket(), view.shardCount());
        @Nullable ShardBuckets buckets = ownedShard(shard, nowNanos);
        if (buckets == null) {
            return NOT_OWNER;
        }
        if (team == null) {
            return UNKNOWN_TEAM;
        }
        Bucket bucket = buckets.bucket(team, request.bucket(), nowNanos, settings);
        int granted = bucket.take(request.wanted() - 1);
        return new TokenAnswer(true, granted, granted > 0 ? 0 : bucket.millisUntilToken(settings));
    }

    /**
     * Takes back tokens that another host did not use.
     *
     * @return the number taken back; tokens that arrive after their lifetime are ignored
     */
    public int returnTokens(TokenReturn returned, long nowNanos) {
        @Nullable Team team = teams.get(returned.team());
        if (team == null || isMalformed(returned.bucket(), returned.count())) {
            return 0;
        }
        int shard = TeamBuckets.shard(returned.team(), returned.bucket(), view.shardCount());
        @Nullable ShardBuckets buckets = ownedShard(shard, nowNanos);
        return buckets == null
                ? 0
                : buckets.bucket(team, returned.bucket(), nowNanos, settings).returnTokens(returned.count());
    }

    /** Removes buckets that are full again. Must be called every few seconds. */
    public void evictFull(long nowNanos) {
        shards.values().forEach(buckets -> buckets.evictFull(nowNanos, settings));
    }

    /** Returns the number of buckets with recorded state. */
    public int recordedBuckets() {
        return shards.values().stream().mapToInt(ShardBuckets::size).sum();
    }

    /** Removes the shard's recorded state and returns it for a handover. */
    List<BucketState> removeShard(int shard, OwnershipPeriod period, long nowNanos) {
        @Nullable ShardBuckets buckets = shards.remove(shard);
        if (buckets == null || !buckets.period().equals(period)) {
            return new ArrayList<>();
        }
        return buckets.export(nowNanos, settings);
    }

    /** Restores the recorded state of a shard that was handed over. */
    void restoreShard(int shard, OwnershipPeriod period, List<BucketState> handedOver, long nowNanos) {
        ShardBuckets buckets = new ShardBuckets(period);
        handedOver.forEach(state -> buckets.restore(state, nowNanos));
        shards.put(shard, buckets);
        // The former owner may have used other limits than this host does.
        for (BucketState state : handedOver) {
            @Nullable Team team = teams.get(state.team());
            if (team != null) {
                buckets.updateLimits(
                        state.team(), state.bucket(), TeamBuckets.limits(team, state.bucket()), nowNanos, settings);
            }
        }
    }

    private static boolean isMalformed(int bucket, int count) {
        return bucket < 0 || bucket >= TeamBuckets.COUNT || count < 1;
    }

    private @Nullable ShardBuckets ownedShard(int shard, long nowNanos) {
        Optional<OwnershipPeriod> period = view.activePeriod(shard, nowNanos);
        if (period.isEmpty()) {
            return null;
        }
        @Nullable ShardBuckets buckets = shards.get(shard);
        if (buckets == null
                || buckets.period().ownedSinceVersion() != period.get().ownedSinceVersion()) {
            buckets = new ShardBuckets(period.get());
            shards.put(shard, buckets);
        }
        return buckets;
    }

    private void updateTeam(Team before, @Nullable Team after, long nowNanos) {
        for (int bucket = 0; bucket < TeamBuckets.COUNT; bucket++) {
            @Nullable ShardBuckets buckets = shards.get(TeamBuckets.shard(before.name(), bucket, view.shardCount()));
            if (buckets == null) {
                continue;
            }
            buckets.bucket(before, bucket, nowNanos, settings);
            if (after != null) {
                buckets.updateLimits(after.name(), bucket, TeamBuckets.limits(after, bucket), nowNanos, settings);
            }
        }
    }

    private void addTeam(Team added, long nowNanos) {
        for (int bucket = 0; bucket < TeamBuckets.COUNT; bucket++) {
            @Nullable ShardBuckets buckets = shards.get(TeamBuckets.shard(added.name(), bucket, view.shardCount()));
            if (buckets != null) {
                buckets.updateLimits(added.name(), bucket, TeamBuckets.limits(added, bucket), nowNanos, settings);
            }
        }
    }
}
