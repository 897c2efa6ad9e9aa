package org.auburnhoist.gateway;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.limit.FallbackLimiter;
import org.auburnhoist.core.limit.QuotaOwnership;
import org.auburnhoist.core.limit.TeamQuotas;
import org.auburnhoist.core.limit.TeamShares;
import org.auburnhoist.core.limit.TokenDecision;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.membership.FleetView;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.QuotaHandoverRequest;
import org.auburnhoist.core.message.QuotaTakeoverRequest;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.core.routing.TeamPolicy;
import org.auburnhoist.host.ControlThread;
import org.auburnhoist.host.MemberCalls;
import org.auburnhoist.host.PeerCalls;
import org.auburnhoist.peer.CallResult;
import org.auburnhoist.support.Event;

/**
 * Acquires tokens for requests from the hosts that own the shares of a team's rate limit, and grants tokens from the
 * shares that this host owns. If a share has no token or no owner, the next share is tried. Confined to the control
 * thread.
 */
final class QuotaBroker {
    /** A round trip between data centres takes a few milliseconds; a slow owner is not waited for. */
    private static final Duration TOKEN_TIMEOUT = Duration.ofMillis(250);

    private static final long SUSPECT_NANOS = Duration.ofSeconds(1).toNanos();
    /** Retry delay for callers while a team's owner is unavailable; a killed process is back within about a second. */
    private static final long UNAVAILABLE_RETRY_MILLIS = 400;
    /** A request whose team currently has no owner is retried after this time before it is refused. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(120);
    /** Three retries after 120 ms each take a small part of the time that callers allow. */
    private static final int MAX_ATTEMPTS = 4;

    private final FleetView fleet;
    private final StoreCache cache;
    private final PeerCalls peers;
    private final ControlThread control;
    private final String selfName;
    private final String selfAddress;
    private final TeamQuotas quotas;
    private final QuotaOwnership ownership;
    private final FallbackLimiter fallback;

    /**
     * Result of a request for a token.
     *
     * @param granted whether the request may proceed
     * @param overLimit whether the team has used up its limit, as opposed to the limit being unavailable
     * @param retryAfterMillis when the caller may retry
     */
    record QuotaResult(boolean granted, boolean overLimit, long retryAfterMillis) {
        static final QuotaResult GRANTED = new QuotaResult(true, false, 0);
        static final QuotaResult UNAVAILABLE = new QuotaResult(false, false, UNAVAILABLE_RETRY_MILLIS);
    }

    /**
     * Summary of the answers from the shares that were asked so far.
     *
     * @param asked number of shares
     * @param overLimit how many of them had no token
     * @param retryAfterMillis when the first of these has one
     */
    private record ShareAnswers(int asked, int overLimit, long retryAfterMillis) {
        static final ShareAnswers NONE = new ShareAnswers(0, 0, Long.MAX_VALUE);

        ShareAnswers with(QuotaResult refused) {
            return refused.overLimit()
                    ? new ShareAnswers(asked + 1, overLimit + 1, Math.min(retryAfterMillis, refused.retryAfterMillis()))
                    : new ShareAnswers(asked + 1, overLimit, retryAfterMillis);
        }
    }

    QuotaBroker(
            FleetView fleet,
            StoreCache cache,
            PeerCalls peers,
            ControlThread control,
            GatewaySettings settings,
            LongPredicate mayOwn,
            RandomGenerator random,
            long startNanos) {
        this.fleet = fleet;
        this.cache = cache;
        this.peers = peers;
        this.control = control;
        this.selfName = settings.name();
        this.selfAddress = MemberCalls.formatAddress(settings.peerAddress());
        this.quotas = new TeamQuotas(TeamShares.shareTolerance(settings.quotaTolerance()), startNanos);
        this.ownership = new QuotaOwnership(fleet, settings.name(), quotas, mayOwn, startNanos);
        this.fallback = new FallbackLimiter(settings.quotaTolerance(), random);
    }

    /**
     * Lets this host own its teams at once, because an earlier process under its name was a member until this one
     * started.
     */
    void resumeOwnership() {
        ownership.resumeOwnership();
    }

    void membersChanged(long nowNanos) {
        ownership.membersChanged(nowNanos);
    }

    /** Hands the teams of this host over to the hosts that are next in the placement order. */
    void leave(long nowNanos) {
        List<String> shares = cache.router().configuration().teams().keySet().stream()
                .flatMap(team -> TeamShares.namesOf(team).stream())
                .toList();
        ownership.handOverAll(shares, nowNanos).forEach((team, successor) -> {
            Event.named("team-offered")
                    .with("team", team)
                    .with("to", successor.id().name())
                    .log();
            peers.call(
                    MemberCalls.parseAddress(successor.peerAddress()),
                    new QuotaHandoverRequest(team),
                    TOKEN_TIMEOUT,
                    (result, now) -> {});
        });
    }

    /** Takes over a team that a leaving host has handed over to this one. */
    void handleHandover(QuotaHandoverRequest handover, HostId from, long nowNanos) {
        Event.named("team-taken-over")
                .with("team", handover.team())
                .with("from", from.name())
                .with("because", "leaving")
                .log();
        ownership.acceptHandover(handover.team(), nowNanos);
    }

    /** Handles the request of another host to take over a team that this host may have owned until now. */
    Acknowledgement handleTakeover(QuotaTakeoverRequest takeover, HostId from, long nowNanos) {
        boolean accepted = ownership.acceptTakeover(takeover.team(), takeover.newOwnerAddress(), nowNanos);
        Event.named("team-claimed")
                .with("team", takeover.team())
                .with("by", from.name())
                .with("given", accepted)
                .log();
        return new Acknowledgement(accepted);
    }

    /** Requests one token, with a few retries while no share of the team has an owner. */
    void acquire(TeamPolicy team, long nowNanos, BiConsumer<QuotaResult, Long> handler) {
        acquire(team, 1, nowNanos, handler);
    }

    private void acquire(TeamPolicy team, int attempt, long nowNanos, BiConsumer<QuotaResult, Long> handler) {
        tryShares(team, ShareAnswers.NONE, nowNanos, (result, now) -> {
            if (result != QuotaResult.UNAVAILABLE || attempt >= MAX_ATTEMPTS) {
                handler.accept(result, now);
            } else {
                control.schedule(RETRY_INTERVAL, later -> acquire(team, attempt + 1, later, handler));
            }
        });
    }

    private void tryShares(
            TeamPolicy team, ShareAnswers answers, long nowNanos, BiConsumer<QuotaResult, Long> handler) {
        if (answers.asked() == TeamShares.COUNT) {
            handler.accept(resultWithoutToken(team, answers, nowNanos), nowNanos);
            return;
        }
        int index = (TeamShares.preferredShare(team.name(), selfName) + answers.asked()) % TeamShares.COUNT;
        tryShare(TeamShares.share(team, index), nowNanos, (result, now) -> {
            if (result.granted()) {
                handler.accept(result, now);
            } else {
                tryShares(team, answers.with(result), now, handler);
            }
        });
    }

    private QuotaResult resultWithoutToken(TeamPolicy team, ShareAnswers answers, long nowNanos) {
        if (answers.overLimit() == TeamShares.COUNT) {
            return new QuotaResult(false, true, answers.retryAfterMillis());
        }
        if (fallback.tryAcquire(team, fleet.members().size(), nowNanos)) {
            return QuotaResult.GRANTED;
        }
        // A share that answered has no token; asking the others again would not raise the team's limit.
        return answers.overLimit() == 0
                ? QuotaResult.UNAVAILABLE
                : new QuotaResult(false, false, Math.max(UNAVAILABLE_RETRY_MILLIS, answers.retryAfterMillis()));
    }

    private void tryShare(TeamPolicy team, long nowNanos, BiConsumer<QuotaResult, Long> handler) {
        String name = team.name();
        FleetMember owner = ownership.preferredOwner(name);
        String givenTo = ownership.handedOverTo(name);
        if (ownership.isActiveOwner(name, nowNanos)) {
            handler.accept(grantLocally(team, nowNanos), nowNanos);
        } else if (!givenTo.isEmpty()) {
            requestToken(givenTo, "", team, handler);
        } else if (owner == null || ownership.isPreferredOwner(name)) {
            takeOverIfDue(name, nowNanos, now -> {
                boolean decides = ownership.isActiveOwner(name, now);
                handler.accept(decides ? grantLocally(team, now) : QuotaResult.UNAVAILABLE, now);
            });
        } else if (!fleet.isAlive(owner.id().name(), nowNanos)) {
            handler.accept(QuotaResult.UNAVAILABLE, nowNanos);
        } else {
            requestToken(owner.peerAddress(), owner.id().name(), team, handler);
        }
    }

    /**
     * Requests a token from a host, and follows at most one reference to another host.
     *
     * @param address the host's peer address
     * @param name the host's name, or empty if the address is already a reference
     */
    private void requestToken(String address, String name, TeamPolicy team, BiConsumer<QuotaResult, Long> handler) {
        TokenRequest request = new TokenRequest(team.name(), 0, 1);
        peers.call(MemberCalls.parseAddress(address), request, TOKEN_TIMEOUT, (result, now) -> {
            TokenAnswer answer =
                    result instanceof CallResult.Answered answered && answered.message() instanceof TokenAnswer token
                            ? token
                            : null;
            if (answer == null && !name.isEmpty()) {
                fleet.suspect(name, now + SUSPECT_NANOS);
            }
            if (answer == null || (!answer.owner() && (answer.ownerAddress().isEmpty() || name.isEmpty()))) {
                handler.accept(QuotaResult.UNAVAILABLE, now);
            } else if (!answer.owner()) {
                requestToken(answer.ownerAddress(), "", team, handler);
            } else if (answer.granted() > 0) {
                handler.accept(QuotaResult.GRANTED, now);
            } else {
                handler.accept(new QuotaResult(false, true, answer.retryAfterMillis()), now);
            }
        });
    }

    /** Answers a token request of another host. */
    TokenAnswer handleTokenRequest(TokenRequest request, long nowNanos) {
        TeamPolicy unsplitTeam = cache.router().team(TeamShares.teamOf(request.team()));
        int index = TeamShares.indexOf(request.team());
        TeamPolicy team = unsplitTeam == null || index < 0 ? null : TeamShares.share(unsplitTeam, index);
        if (team == null || !ownership.isActiveOwner(request.team(), nowNanos)) {
            takeOverIfDue(request.team(), nowNanos, now -> {});
            return new TokenAnswer(false, 0, 0, ownership.handedOverTo(request.team()));
        }
        if (!team.isRateLimited()) {
            return new TokenAnswer(true, 1, 0);
        }
        TokenDecision decision = quotas.acquire(team, nowNanos);
        return decision instanceof TokenDecision.Refuse refuse
                ? new TokenAnswer(true, 0, refuse.retryAfterMillis())
                : new TokenAnswer(true, 1, 0);
    }

    /** Requests the takeover of a team from its former owner if that is due, and continues after the answer. */
    private void takeOverIfDue(String team, long nowNanos, LongConsumer next) {
        FleetMember formerOwner = ownership.startTakeoverIfDue(team, nowNanos);
        if (formerOwner == null) {
            next.accept(nowNanos);
            return;
        }
        QuotaTakeoverRequest takeover = new QuotaTakeoverRequest(team, selfAddress);
        peers.call(MemberCalls.parseAddress(formerOwner.peerAddress()), takeover, TOKEN_TIMEOUT, (result, now) -> {
            boolean accepted = result instanceof CallResult.Answered answered
                    && answered.message() instanceof Acknowledgement acknowledgement
                    && acknowledgement.accepted();
            Event.named("team-claim-answered")
                    .with("team", team)
                    .with("earlier", formerOwner.id().name())
                    .with("accepted", accepted)
                    .log();
            if (accepted) {
                ownership.onTakeoverAccepted(team, now);
            }
            next.accept(now);
        });
    }

    private QuotaResult grantLocally(TeamPolicy team, long nowNanos) {
        TokenDecision decision = quotas.acquire(team, nowNanos);
        return decision instanceof TokenDecision.Refuse refuse
                ? new QuotaResult(false, true, refuse.retryAfterMillis())
                : QuotaResult.GRANTED;
    }
}
