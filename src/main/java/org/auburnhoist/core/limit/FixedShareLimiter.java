package org.auburnhoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.TokenAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Baseline for comparison: each host grants a fixed share of each team's rate and burst without contacting others.
 *
 * <p>The burst is divided into whole tokens by the rank of the host, so that the shares add up to the burst. Changes of
 * the roster are not handled safely, so this limiter is not meant for production use.
 */
public final class FixedShareLimiter implements RateLimiter {
    private final HostId self;
    private final LimitSettings settings;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private Map<String, Team> teams = Map.of();
    private Roster roster;

    /** Creates a limiter without teams; every bucket starts full. */
    public FixedShareLimiter(HostId self, LimitSettings settings, Roster roster) {
        this.self = self;
        this.settings = settings;
        this.roster = roster;
    }

    @Override
    public void updateRoster(Roster newRoster) {
        roster = newRoster;
        buckets.clear();
    }

    @Override
    public void configure(Map<String, Team> newTeams, long nowNanos) {
        teams = Map.copyOf(newTeams);
        buckets.clear();
    }

    @Override
    public TokenDecision decide(String teamName, long nowNanos) {
        @Nullable Team team = teams.get(teamName);
        if (team == null) {
            return new TokenDecision.Refuse(LimitSettings.MAX_RETRY_MILLIS);
        }
        Bucket bucket = buckets.computeIfAbsent(teamName, name -> {
            BucketLimits share = share(team);
            return new Bucket(share, share.capacity(), nowNanos);
        });
        bucket.refill(nowNanos, settings);
        return bucket.take(0) > 0
                ? TokenDecision.Admit.INSTANCE
                : new TokenDecision.Refuse(bucket.millisUntilToken(settings));
    }

    @Override
    public TokenDecision onAnswer(
            TokenDecision.RequestTokens request, long sentAtNanos, TokenAnswer answer, long nowNanos) {
        throw new IllegalStateException(
                "a fixed-share limiter requests no tokens, but received an answer to " + request);
    }

    @Override
    public TokenDecision onNoAnswer(TokenDecision.RequestTokens request, long nowNanos) {
        throw new IllegalStateException(
                "a fixed-share limiter requests no tokens, but received no answer to " + request);
    }

    private BucketLimits share(Team team) {
        int hosts = roster.members().size();
        int rank = roster.rank(self);
        if (rank < 0) {
            return BucketLimits.NONE;
        }
        long upper = (long) team.burst() * (rank + 1) / hosts;
        long lower = (long) team.burst() * rank / hosts;
        return new BucketLimits(team.ratePerSecond() / hosts, (int) (upper - lower));
    }
}
