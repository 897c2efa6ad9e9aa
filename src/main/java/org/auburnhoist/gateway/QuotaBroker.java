package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.auburnhoist.core.limit.IsolatedAllowance;
import org.auburnhoist.core.limit.TeamQuotas;
import org.auburnhoist.core.limit.TokenDecision;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.core.routing.TeamTerms;
import org.auburnhoist.host.PeerCalls;
import org.auburnhoist.host.Peers;
import org.auburnhoist.peer.CallResult;
import org.jspecify.annotations.Nullable;

/**
 * Gets tokens for requests from the host that owns the team's bucket, and grants them where this host is the owner.
 * Belongs to the control thread.
 */
final class QuotaBroker {
    /** A round trip between data centres takes a few milliseconds; a slow owner is not waited for. */
    private static final Duration TOKEN_TIMEOUT = Duration.ofMillis(250);

    private static final long SUSPECT_NANOS = Duration.ofSeconds(1).toNanos();
    /** While the owner is away, the next one takes over within about a second. */
    private static final long AWAY_RETRY_MILLIS = 400;

    private final FleetView fleet;
    private final Knowledge knowledge;
    private final PeerCalls peers;
    private final String selfName;
    private final LongPredicate mayOwn;
    private final TeamQuotas owned;
    private final IsolatedAllowance isolated;
    private final long startNanos;
    private boolean resumes;
    private Set<String> memberNames = Set.of();
    private Set<String> leavingNames = Set.of();

    /**
     * What became of a request for a token.
     *
     * @param granted whether the request may go on
     * @param overLimit whether the team has used up its limit, as opposed to the limit not being known
     * @param retryAfterMillis when to come back
     */
    record QuotaResult(boolean granted, boolean overLimit, long retryAfterMillis) {
        static final QuotaResult GRANTED = new QuotaResult(true, false, 0);
    }

    QuotaBroker(
            FleetView fleet,
            Knowledge knowledge,
            PeerCalls peers,
            String selfName,
            LongPredicate mayOwn,
            IsolatedAllowance.Tolerance tolerance,
            RandomGenerator random,
            long startNanos) {
        this.fleet = fleet;
        this.knowledge = knowledge;
        this.peers = peers;
        this.selfName = selfName;
        this.mayOwn = mayOwn;
        this.owned = new TeamQuotas(tolerance, startNanos);
        this.isolated = new IsolatedAllowance(tolerance, random);
        this.startNanos = startNanos;
    }

    /** An earlier process under this host's name was a member until this one started, and owned the same teams. */
    void resumes() {
        resumes = true;
    }

    void membersChanged(long nowNanos) {
        Set<String> names = new HashSet<>();
        Set<String> leaving = new HashSet<>();
        for (FleetMember member : fleet.members()) {
            names.add(member.id().name());
            if (member.leaving()) {
                leaving.add(member.id().name());
            }
        }
        if (names.equals(memberNames) && leaving.equals(leavingNames)) {
            return;
        }
        // A leaving host grants nothing from the moment at which it says so.
        boolean onlyLeaving = names.equals(memberNames) && leaving.containsAll(leavingNames);
        memberNames = names;
        leavingNames = leaving;
        Set<String> mine = knowledge.router().configuration().teams().keySet().stream()
                .filter(this::isOwner)
                .collect(Collectors.toSet());
        if (resumes || onlyLeaving) {
            owned.ownersEnded(mine, resumes ? startNanos : nowNanos);
            resumes = false;
        } else {
            owned.membersChanged(mine, nowNanos);
        }
    }

    /** Asks for one token. */
    void acquire(TeamTerms team, long nowNanos, BiConsumer<QuotaResult, Long> handler) {
        FleetMember owner = owner(team.name());
        if (owner == null || owner.id().name().equals(selfName)) {
            handler.accept(grantHere(team, nowNanos), nowNanos);
        } else if (!fleet.isAlive(owner.id().name(), nowNanos)) {
            handler.accept(grantIsolated(team, nowNanos), nowNanos);
        } else {
            ask(owner, team, handler);
        }
    }

    private void ask(FleetMember owner, TeamTerms team, BiConsumer<QuotaResult, Long> handler) {
        peers.call(
                Peers.addressOf(owner.peerAddress()),
                new TokenRequest(team.name(), 0, 1),
                TOKEN_TIMEOUT,
                (result, now) -> {
                    if (result instanceof CallResult.Answered answered
                            && answered.message() instanceof TokenAnswer answer) {
                        if (answer.owner()) {
                            handler.accept(
                                    answer.granted() > 0
                                            ? QuotaResult.GRANTED
                                            : new QuotaResult(false, true, answer.retryAfterMillis()),
                                    now);
                            return;
                        }
                    } else {
                        fleet.suspect(owner.id().name(), now + SUSPECT_NANOS);
                    }
                    handler.accept(grantIsolated(team, now), now);
                });
    }

    /** Answers another host. */
    TokenAnswer answer(TokenRequest request, long nowNanos) {
        TeamTerms team = knowledge.router().team(request.team());
        if (team == null || !isOwner(request.team()) || !isSettled(request.team(), nowNanos)) {
            return new TokenAnswer(false, 0, 0);
        }
        if (!team.isLimited()) {
            return new TokenAnswer(true, 1, 0);
        }
        TokenDecision decision = owned.acquire(team, nowNanos);
        return decision instanceof TokenDecision.Refuse refuse
                ? new TokenAnswer(true, 0, refuse.retryAfterMillis())
                : new TokenAnswer(true, 1, 0);
    }

    private QuotaResult grantHere(TeamTerms team, long nowNanos) {
        if (!isSettled(team.name(), nowNanos)) {
            return grantIsolated(team, nowNanos);
        }
        TokenDecision decision = owned.acquire(team, nowNanos);
        return decision instanceof TokenDecision.Refuse refuse
                ? new QuotaResult(false, true, refuse.retryAfterMillis())
                : QuotaResult.GRANTED;
    }

    private QuotaResult grantIsolated(TeamTerms team, long nowNanos) {
        return isolated.tryAcquire(team, fleet.members().size(), nowNanos)
                ? QuotaResult.GRANTED
                : new QuotaResult(false, false, AWAY_RETRY_MILLIS);
    }

    private boolean isSettled(String team, long nowNanos) {
        return mayOwn.test(nowNanos) && owned.isSettled(team, nowNanos);
    }

    private boolean isOwner(String team) {
        FleetMember owner = owner(team);
        return owner != null && owner.id().name().equals(selfName);
    }

    private @Nullable FleetMember owner(String team) {
        var order = fleet.order("team/" + team);
        return order.isEmpty() ? null : order.get(0);
    }
}
