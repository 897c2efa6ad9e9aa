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
 * The asking side of the rate limits: spends tokens got ahead, asks the owners of the team's two buckets, and refuses
 * locally while both owners have said that no token is available.
 *
 * <pre>{@code
 * TokenDecision decision = reserves.decide(team, now);
 * while (decision instanceof TokenDecision.Ask ask) {
 *     long sentAt = now();
 *     decision = send(ask).map(answer -> reserves.answered(ask, sentAt, answer, now()))
 *             .orElseGet(() -> reserves.unanswered(ask, now()));
 * }
 * }</pre>
 *
 * <p>A lost answer loses its tokens. A traffic thread may first call {@link Reserve#tryAcquire} on the reserve from
 * {@link #reserve}, and come to the control thread only if that returns false.
 */
public final class TokenReserves implements RateLimiter {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A host holds at most this part of the burst, which bounds what its death loses. */
    private static final int RESERVE_DIVISOR = 16;

    /** Tokens are fetched ahead for an eighth of a second at the recent pace. */
    private static final int AHEAD_DIVISOR = 8;

    private final HostId self;
    private final LimitSettings settings;
    private final Map<String, TeamState> states = new HashMap<>();
    private Map<String, Team> teams = Map.of();
    private Roster roster;

    /** Starts without reserves and teams. */
    public TokenReserves(HostId self, LimitSettings settings, Roster roster) {
        this.self = self;
        this.settings = settings;
        this.roster = roster;
    }

    @Override
    public void updateRoster(Roster newer) {
        for (Map.Entry<String, TeamState> entry : states.entrySet()) {
            for (int bucket = 0; bucket < TeamBuckets.COUNT; bucket++) {
                if (!owner(roster, entry.getKey(), bucket).equals(owner(newer, entry.getKey(), bucket))) {
                    // What the former owner said about the next token does not bind the new one.
                    entry.getValue().refusedUntil[bucket] = Long.MIN_VALUE;
                }
            }
        }
        roster = newer;
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

    /** Returns the owners of the team's buckets by the given roster. */
    public static List<HostId> owners(Roster roster, String team) {
        return List.of(owner(roster, team, 0), owner(roster, team, 1));
    }

    /** Returns the team's reserve, from which any thread may spend; empty until the team's first request. */
    public Optional<Reserve> reserve(String team) {
        return Optional.ofNullable(states.get(team)).map(state -> state.reserve);
    }

    @Override
    public TokenDecision decide(String teamName, long nowNanos) {
        @Nullable Team team = teams.get(teamName);
        if (team == null) {
            return new TokenDecision.Refuse(LimitSettings.LONGEST_RETRY_MILLIS);
        }
        TeamState state = states.computeIfAbsent(teamName, name -> new TeamState(nowNanos));
        state.countRequest(nowNanos);
        if (state.reserve.tryAcquire(nowNanos)) {
            return TokenDecision.Admit.INSTANCE;
        }
        int preferred = preferredBucket(team, state, nowNanos);
        return preferred < 0 ? state.refusal(team, nowNanos) : ask(team, state, preferred, false, nowNanos);
    }

    @Override
    public TokenDecision onAnswer(
            TokenDecision.RequestTokens ask, long sentAtNanos, TokenAnswer answer, long nowNanos) {
        TeamState state = states.computeIfAbsent(ask.team(), name -> new TeamState(nowNanos));
        if (answer.granted() > 0) {
            keep(state, ask, answer.granted() - 1, sentAtNanos);
            return TokenDecision.Admit.INSTANCE;
        }
        // An owner that may not grant yet is asked again after the same time as one that did not answer.
        long waitNanos = answer.owner()
                ? answer.retryAfterMillis() * NANOS_PER_MILLI
                : settings.lostAnswerBackoff().toNanos();
        return continueAfterRefusal(ask, state, nowNanos + waitNanos, nowNanos);
    }

    @Override
    public TokenDecision onNoAnswer(TokenDecision.RequestTokens ask, long nowNanos) {
        TeamState state = states.computeIfAbsent(ask.team(), name -> new TeamState(nowNanos));
        return continueAfterRefusal(
                ask, state, nowNanos + settings.lostAnswerBackoff().toNanos(), nowNanos);
    }

    /** Returns the unspent tokens that must go back to their owners. To be called several times a second. */
    public List<OutgoingReturn> expired(long nowNanos) {
        List<OutgoingReturn> result = new ArrayList<>();
        states.forEach((team, state) -> {
            if (state.reserve.isExpired(nowNanos)) {
                // The owner may have stopped counting tokens that come back later, and would take them for others.
                boolean inTime = !state.reserve.isExpired(nowNanos - settings.returnNanos() / 2);
                int count = state.reserve.takeAll();
                if (inTime && count > 0 && state.reserveOwner != null) {
                    result.add(
                            new OutgoingReturn(state.reserveOwner, new TokenReturn(team, state.reserveBucket, count)));
                }
            }
        });
        return result;
    }

    /** Forgets the state of teams without requests in the last minute. To be called every few seconds. */
    public void evictIdle(long nowNanos) {
        states.values().removeIf(state -> state.reserve.count() == 0 && state.isIdle(nowNanos));
    }

    private TokenDecision continueAfterRefusal(
            TokenDecision.RequestTokens ask, TeamState state, long refusedUntil, long nowNanos) {
        state.refusedUntil[ask.bucket()] = Math.max(state.refusedUntil[ask.bucket()], refusedUntil);
        @Nullable Team team = teams.get(ask.team());
        if (team == null) {
            return new TokenDecision.Refuse(LimitSettings.LONGEST_RETRY_MILLIS);
        }
        int other = 1 - ask.bucket();
        if (ask.isSecondBucket() || !isUsable(team, state, other, nowNanos)) {
            return state.refusal(team, nowNanos);
        }
        return ask(team, state, other, true, nowNanos);
    }

    private TokenDecision ask(Team team, TeamState state, int bucket, boolean isSecond, long nowNanos) {
        int limit = team.burst() / RESERVE_DIVISOR - state.reserve.count();
        int wanted = 1 + Math.max(0, Math.min(limit, state.recentRequests(nowNanos) / AHEAD_DIVISOR));
        return new TokenDecision.RequestTokens(
                owner(roster, team.name(), bucket), team.name(), bucket, wanted, isSecond);
    }

    /** Returns the bucket to ask first, or -1 if both are known to have no token. */
    private int preferredBucket(Team team, TeamState state, long nowNanos) {
        int first = firstChoice(team.name());
        if (isUsable(team, state, first, nowNanos)) {
            return first;
        }
        return isUsable(team, state, 1 - first, nowNanos) ? 1 - first : -1;
    }

    /** The own bucket needs no message; otherwise the hosts spread evenly over the two. */
    private int firstChoice(String team) {
        for (int bucket = 0; bucket < TeamBuckets.COUNT; bucket++) {
            if (owner(roster, team, bucket).equals(self)) {
                return bucket;
            }
        }
        return (int) (StableHash.of(team, self) & 1);
    }

    private static boolean isUsable(Team team, TeamState state, int bucket, long nowNanos) {
        return TeamBuckets.limits(team, bucket).capacity() > 0 && state.refusedUntil[bucket] <= nowNanos;
    }

    private void keep(TeamState state, TokenDecision.RequestTokens ask, int count, long sentAtNanos) {
        if (count <= 0) {
            return;
        }
        if (state.reserve.count() > 0 && state.reserveBucket != ask.bucket()) {
            // A reserve holds tokens of one bucket; those of the other are lost rather than returned wrongly.
            return;
        }
        state.reserveBucket = ask.bucket();
        state.reserveOwner = ask.owner();
        state.reserve.add(count, sentAtNanos + settings.reserveLifetime().toNanos());
    }

    private static HostId owner(Roster roster, String team, int bucket) {
        int shard = TeamBuckets.shard(team, bucket, roster.shards().size());
        return roster.shards().get(shard).owner();
    }

    /** A message that returns tokens. */
    public record OutgoingReturn(HostId owner, TokenReturn message) {}
}
