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
 * permission to grant began. So a takeover never grants a second burst, and idle teams need no memory.
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
    private final Map<Integer, ShardLevels> shards = new HashMap<>();
    private Map<String, Team> teams = Map.of();

    /** Starts without state and without teams. */
    public TokenBuckets(ShardView view, LimitSettings settings) {
        this.view = view;
        this.settings = settings;
    }

    /**
     * Uses the limits of a newer configuration from now on.
     *
     * <p>A level is capped by the new burst and never raised. The levels of a removed team are kept until they are
     * full, so adding the team again does not grant a second burst.
     */
    public void configure(Map<String, Team> newTeams, long nowNanos) {
        teams.values().forEach(before -> {
            @Nullable Team after = newTeams.get(before.name());
            if (after == null || !before.equals(after)) {
                changeTeam(before, after, nowNanos);
            }
        });
        newTeams.values().forEach(after -> {
            if (!teams.containsKey(after.name())) {
                addTeam(after, nowNanos);
            }
        });
        teams = Map.copyOf(newTeams);
    }

    /** Grants tokens, or says when the next one is available. */
    public TokenAnswer request(TokenRequest request, long nowNanos) {
        if (isMalformed(request.bucket(), request.wanted())) {
            return NOT_OWNER;
        }
        @Nullable Team team = teams.get(request.team());
        int shard = TeamBuckets.shard(request.team(), request.bucket(), view.shardCount());
        @Nullable ShardLevels levels = grantedLevels(shard, nowNanos);
        if (levels == null) {
            return NOT_OWNER;
        }
        if (team == null) {
            return UNKNOWN_TEAM;
        }
        Bucket bucket = levels.bucket(team, request.bucket(), nowNanos, settings);
        int granted = bucket.take(request.wanted() - 1);
        return new TokenAnswer(true, granted, granted > 0 ? 0 : bucket.millisUntilToken(settings));
    }

    /**
     * Takes back tokens that another host did not use.
     *
     * @return the number taken back; tokens that come after their lifetime are ignored
     */
    public int returnTokens(TokenReturn returned, long nowNanos) {
        @Nullable Team team = teams.get(returned.team());
        if (team == null || isMalformed(returned.bucket(), returned.count())) {
            return 0;
        }
        int shard = TeamBuckets.shard(returned.team(), returned.bucket(), view.shardCount());
        @Nullable ShardLevels levels = grantedLevels(shard, nowNanos);
        return levels == null
                ? 0
                : levels.bucket(team, returned.bucket(), nowNanos, settings).giveBack(returned.count());
    }

    /** Forgets buckets that are full again. To be called every few seconds. */
    public void evictFull(long nowNanos) {
        shards.values().forEach(levels -> levels.forgetFull(nowNanos, settings));
    }

    /** Returns the number of buckets with recorded state. */
    public int recordedBuckets() {
        return shards.values().stream().mapToInt(ShardLevels::size).sum();
    }

    /** Removes the shard's recorded state and returns it for a handover. */
    List<BucketLevel> take(int shard, OwnershipPeriod grant, long nowNanos) {
        @Nullable ShardLevels levels = shards.remove(shard);
        if (levels == null || !levels.grant().equals(grant)) {
            return new ArrayList<>();
        }
        return levels.export(nowNanos, settings);
    }

    /** Uses the state of a shard that was handed over. */
    void put(int shard, OwnershipPeriod grant, List<BucketLevel> handedOver, long nowNanos) {
        ShardLevels levels = new ShardLevels(grant);
        handedOver.forEach(level -> levels.restore(level, nowNanos));
        shards.put(shard, levels);
        // The sender may have used other limits than this host does.
        for (BucketLevel level : handedOver) {
            @Nullable Team team = teams.get(level.team());
            if (team != null) {
                levels.change(
                        level.team(), level.bucket(), TeamBuckets.limits(team, level.bucket()), nowNanos, settings);
            }
        }
    }

    private static boolean isMalformed(int bucket, int count) {
        return bucket < 0 || bucket >= TeamBuckets.COUNT || count < 1;
    }

    private @Nullable ShardLevels grantedLevels(int shard, long nowNanos) {
        Optional<OwnershipPeriod> grant = view.activePeriod(shard, nowNanos);
        if (grant.isEmpty()) {
            return null;
        }
        @Nullable ShardLevels levels = shards.get(shard);
        if (levels == null || levels.grant().ownedSinceVersion() != grant.get().ownedSinceVersion()) {
            levels = new ShardLevels(grant.get());
            shards.put(shard, levels);
        }
        return levels;
    }

    private void changeTeam(Team before, @Nullable Team after, long nowNanos) {
        for (int bucket = 0; bucket < TeamBuckets.COUNT; bucket++) {
            @Nullable ShardLevels levels = shards.get(TeamBuckets.shard(before.name(), bucket, view.shardCount()));
            if (levels == null) {
                continue;
            }
            levels.bucket(before, bucket, nowNanos, settings);
            if (after != null) {
                levels.change(after.name(), bucket, TeamBuckets.limits(after, bucket), nowNanos, settings);
            }
        }
    }

    private void addTeam(Team added, long nowNanos) {
        for (int bucket = 0; bucket < TeamBuckets.COUNT; bucket++) {
            @Nullable ShardLevels levels = shards.get(TeamBuckets.shard(added.name(), bucket, view.shardCount()));
            if (levels != null) {
                levels.change(added.name(), bucket, TeamBuckets.limits(added, bucket), nowNanos, settings);
            }
        }
    }
}
