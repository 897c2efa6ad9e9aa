package org.auburnhoist.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.StableHash;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenReturn;
import org.jspecify.annotations.Nullable;

/**
 * The requesting side of the rate limits: uses prefetched tokens, requests tokens from the owners of the team's two
 * buckets, and refuses locally while both owners have answered that no token is available.
 *
 * <pre>{@code
 * TokenDecision decision = reserves.decide(team, now);
 * while (decision instanceof TokenDecision.RequestTokens request) {
 *     long sentAt = now();
 *     decision = send(request).map(answer -> reserves.onAnswer(request, sentAt, answer, now()))
 *             .orElseGet(() -> reserves.onNoAnswer(request, now()));
 * }
 * }</pre>
 *
 * <p>The tokens of a lost answer are lost. A traffic thread may first call {@link Reserve#tryAcquire} on the reserve
 * from {@link #reserve}, and needs the control thread only if that returns false.
 */
public final class TokenReserves implements RateLimiter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A host holds at most the burst divided by this number, which bounds the tokens that are lost when it fails. */
    private static final int RESERVE_DIVISOR = 16;

    /** Tokens are prefetched for an eighth of a second at the recent request rate. */
    private static final int PREFETCH_DIVISOR = 8;

    private final HostId self;
    private final LimitSettings settings;
    private final Map<String, TeamState> states = new HashMap<>();
    private Map<String, Team> teams = Map.of();
    private Roster roster;

    /** Creates a limiter without reserves and teams. */
    public TokenReserves(HostId self, LimitSettings settings, Roster roster) {
        this.self = self;
        this.settings = settings;
        this.roster = roster;
    }

    @Override
    public void updateRoster(Roster newRoster) {
        for (Map.Entry<String, TeamState> entry : states.entrySet()) {
            for (int bucket = 0; bucket < TeamBuckets.COUNT; bucket++) {
                if (!owner(roster, entry.getKey(), bucket).equals(owner(newRoster, entry.getKey(), bucket))) {
                    // The retry time that the former owner announced does not apply to the new owner.
                    entry.getValue().refusedUntil[bucket] = Long.MIN_VALUE;
                }
            }
        }
        roster = newRoster;
    }

    @Override
    public void configure(Map<String, Team> newTeams, long nowNanos) {
        states.forEach((name, state) -> {
            @Nullable Team before = teams.get(name);
            if (before == null || !before.equals(newTeams.get(name))) {
                state.forgetRefusals();
            }
        });
        teams = Map.copyOf(newTeams);
    }

    /** Returns the owners of the team's buckets, in the order in which this host lists them for callers. */
    public List<HostId> owners(String team) {
        return owners(roster, team);
    }

    /** Returns the owners of the team's buckets according to the given roster. */
    public static List<HostId> owners(Roster roster, String team) {
        return List.of(owner(roster, team, 0), owner(roster, team, 1));
    }

    /** Returns the team's reserve, from which any thread may take tokens; empty until the team's first request. */
    public Optional<Reserve> reserve(String team) {
        return Optional.ofNullable(states.get(team)).map(state -> state.reserve);
    }

    @Override
    public TokenDecision decide(String teamName, long nowNanos) {
        @Nullable Team team = teams.get(teamName);
        if (team == null) {
            return new TokenDecision.Refuse(LimitSettings.MAX_RETRY_MILLIS);
        }
        TeamState state = states.computeIfAbsent(teamName, name -> new TeamState(nowNanos));
        state.countRequest(nowNanos);
        if (state.reserve.tryAcquire(nowNanos)) {
            return TokenDecision.Admit.INSTANCE;
        }
        int preferred = preferredBucket(team, state, nowNanos);
        return preferred < 0 ? state.refusal(team, nowNanos) : requestTokens(team, state, preferred, false, nowNanos);
    }

    @Override
    public TokenDecision onAnswer(
            TokenDecision.RequestTokens request, long sentAtNanos, TokenAnswer answer, long nowNanos) {
        TeamState state = states.computeIfAbsent(request.team(), name -> new TeamState(nowNanos));
        if (answer.granted() > 0) {
            addToReserve(state, request, answer.granted() - 1, sentAtNanos);
            return TokenDecision.Admit.INSTANCE;
        }
        // A host that may not grant tokens yet is asked again after the same time as one that did not answer.
        long waitNanos = answer.owner()
                ? answer.retryAfterMillis() * NANOS_PER_MILLI
                : settings.lostAnswerBackoff().toNanos();
        return continueAfterRefusal(request, state, nowNanos + waitNanos, nowNanos);
    }

    @Override
    public TokenDecision onNoAnswer(TokenDecision.RequestTokens request, long nowNanos) {
        TeamState state = states.computeIfAbsent(request.team(), name -> new TeamState(nowNanos));
        return continueAfterRefusal(
                request, state, nowNanos + settings.lostAnswerBackoff().toNanos(), nowNanos);
    }

    /** Removes expired tokens and returns those to send back to their owners. Must be called several times a second. */
    public List<OutgoingReturn> expired(long nowNanos) {
        List<OutgoingReturn> returns = new ArrayList<>();
        states.forEach((team, state) -> {
            if (state.reserve.isExpired(nowNanos)) {
                // The owner may no longer count tokens that come back later, and would mistake them for other tokens.
                boolean inTime = !state.reserve.isExpired(nowNanos - settings.returnWindowNanos() / 2);
                int count = state.reserve.takeAll();
                if (inTime && count > 0 && state.reserveOwner != null) {
                    returns.add(
                            new OutgoingReturn(state.reserveOwner, new TokenReturn(team, state.reserveBucket, count)));
                }
            }
        });
        return returns;
    }

    /** Removes the state of teams without requests in the last minute. Must be called every few seconds. */
    public void evictIdle(long nowNanos) {
        states.values().removeIf(state -> state.reserve.count() == 0 && state.isIdle(nowNanos));
    }

    private TokenDecision continueAfterRefusal(
            TokenDecision.RequestTokens request, TeamState state, long refusedUntil, long nowNanos) {
        state.refusedUntil[request.bucket()] = Math.max(state.refusedUntil[request.bucket()], refusedUntil);
        @Nullable Team team = teams.get(request.team());
        if (team == null) {
            return new TokenDecision.Refuse(LimitSettings.MAX_RETRY_MILLIS);
        }
        int other = 1 - request.bucket();
        if (request.isSecondBucket() || !isAvailable(team, state, other, nowNanos)) {
            return state.refusal(team, nowNanos);
        }
        return requestTokens(team, state, other, true, nowNanos);
    }

    private TokenDecision requestTokens(Team team, TeamState state, int bucket, boolean isSecond, long nowNanos) {
        int limit = team.burst() / RESERVE_DIVISOR - state.reserve.count();
        int wanted = 1 + Math.max(0, Math.min(limit, state.recentRequests(nowNanos) / PREFETCH_DIVISOR));
        return new TokenDecision.RequestTokens(
                owner(roster, team.name(), bucket), team.name(), bucket, wanted, isSecond);
    }

    /** Returns the bucket to ask first, or -1 if both are known to have no token. */
    private int preferredBucket(Team team, TeamState state, long nowNanos) {
        int preferred = defaultBucket(team.name());
        if (isAvailable(team, state, preferred, nowNanos)) {
            return preferred;
        }
        return isAvailable(team, state, 1 - preferred, nowNanos) ? 1 - preferred : -1;
    }

    /** A bucket that this host owns needs no message; otherwise the hosts spread evenly over the two buckets. */
    private int defaultBucket(String team) {
        for (int bucket = 0; bucket < TeamBuckets.COUNT; bucket++) {
            if (owner(roster, team, bucket).equals(self)) {
                return bucket;
            }
        }
        return (int) (StableHash.of(team, self) & 1);
    }

    private static boolean isAvailable(Team team, TeamState state, int bucket, long nowNanos) {
        return TeamBuckets.limits(team, bucket).capacity() > 0 && state.refusedUntil[bucket] <= nowNanos;
    }

    private void addToReserve(TeamState state, TokenDecision.RequestTokens request, int count, long sentAtNanos) {
        if (count <= 0) {
            return;
        }
        if (state.reserve.count() > 0 && state.reserveBucket != request.bucket()) {
            // A reserve holds tokens of one bucket; those of the other are dropped, not returned wrongly.
            return;
        }
        state.reserveBucket = request.bucket();
        state.reserveOwner = request.owner();
        state.reserve.add(count, sentAtNanos + settings.reserveLifetime().toNanos());
    }

    private static HostId owner(Roster roster, String team, int bucket) {
        int shard = TeamBuckets.shard(team, bucket, roster.shards().size());
        return roster.shards().get(shard).owner();
    }

    /** A message that returns tokens to their owner. */
    public record OutgoingReturn(HostId owner, TokenReturn message) {}
}
