package org.auburnhoist.host;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.configuration.Team;
import org.auburnhoist.core.limit.LimitSettings;
import org.auburnhoist.core.limit.ShardHandover;
import org.auburnhoist.core.limit.ShardOwnership;
import org.auburnhoist.core.limit.TokenBuckets;
import org.auburnhoist.core.limit.TokenDecision;
import org.auburnhoist.core.limit.TokenReserves;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.HandoverRequest;
import org.auburnhoist.core.message.TokenAnswer;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.core.message.TokenReturn;
import org.auburnhoist.peer.CallResult;
import org.jspecify.annotations.Nullable;

/**
 * Enforces the rate limits on a host: runs the token buckets that it owns and requests tokens from the owners of other
 * buckets.
 */
final class LimitController {
    /** A longer wait would delay the request more than asking the owner of the other bucket does. */
    private static final Duration TOKEN_TIMEOUT = Duration.ofMillis(100);

    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(2);
    private static final int HANDOVER_ATTEMPTS = 5;

    private final Blackboard board;
    private final MemberCalls peers;
    private final LimitSettings settings;
    private @Nullable Components components;
    private long configuredVersion;
    private long rosterVersion;

    LimitController(Blackboard board, MemberCalls peers, LimitSettings settings) {
        this.board = board;
        this.peers = peers;
        this.settings = settings;
    }

    /** Components that are created when the first roster is known. */
    private record Components(TokenBuckets buckets, TokenReserves reserves, ShardHandover handover) {}

    /** Applies the current roster and configuration of the blackboard. */
    void documentsChanged(long nowNanos) {
        FreshnessTable table = board.freshness();
        if (table == null) {
            return;
        }
        Components current = components;
        if (current == null) {
            current = createComponents(table);
            components = current;
        }
        if (board.activeConfiguration().version() > configuredVersion) {
            configuredVersion = board.activeConfiguration().version();
            Map<String, Team> teams =
                    board.activeConfiguration().configuration().teams();
            current.buckets().configure(teams, nowNanos);
            current.reserves().configure(teams, nowNanos);
        }
        if (table.roster().version() > rosterVersion) {
            rosterVersion = table.roster().version();
            current.reserves().updateRoster(table.roster());
            current.handover()
                    .export(nowNanos)
                    .forEach(planned -> handOver(planned.successor(), planned.request(), HANDOVER_ATTEMPTS));
        }
    }

    /** Acquires a token for one request; the result is {@code Admit} or {@code Refuse}. */
    void acquire(String team, long nowNanos, Consumer<TokenDecision> result) {
        Components current = components;
        if (current == null) {
            result.accept(new TokenDecision.Refuse(TOKEN_TIMEOUT.toMillis()));
            return;
        }
        handleDecision(current, current.reserves().decide(team, nowNanos), nowNanos, result);
    }

    /** Handles another host's request for tokens. */
    TokenAnswer handle(TokenRequest request, long nowNanos) {
        Components current = components;
        return current == null
                ? new TokenAnswer(false, 0, 0)
                : current.buckets().request(request, nowNanos);
    }

    /** Takes back unused tokens that another host returns. */
    Acknowledgement handle(TokenReturn returned, long nowNanos) {
        Components current = components;
        if (current != null) {
            current.buckets().returnTokens(returned, nowNanos);
        }
        return new Acknowledgement(current != null);
    }

    /** Takes over the bucket levels of a shard from its former owner. */
    Acknowledgement handle(HostId from, HandoverRequest request, long nowNanos) {
        Components current = components;
        return new Acknowledgement(current != null && current.handover().accept(from, request, nowNanos));
    }

    /** Returns unused tokens to the owners of their buckets; to be called several times per second. */
    void returnUnused(long nowNanos) {
        Components current = components;
        if (current == null) {
            return;
        }
        for (TokenReserves.OutgoingReturn unused : current.reserves().expired(nowNanos)) {
            if (unused.owner().equals(board.self())) {
                current.buckets().returnTokens(unused.message(), nowNanos);
            } else {
                peers.call(unused.owner(), unused.message(), TOKEN_TIMEOUT, (answer, now) -> {});
            }
        }
    }

    /** Evicts state that is no longer needed; to be called every few seconds. */
    void cleanUp(long nowNanos) {
        Components current = components;
        if (current != null) {
            current.buckets().evictFull(nowNanos);
            current.reserves().evictIdle(nowNanos);
        }
    }

    /** Returns the owners of a team's buckets; empty before the first roster is known. */
    List<HostId> owners(String team) {
        Roster roster = board.roster();
        return roster == null ? List.of() : TokenReserves.owners(roster, team);
    }

    private Components createComponents(FreshnessTable table) {
        ShardOwnership ownership = new ShardOwnership(table, board.settings());
        TokenBuckets buckets = new TokenBuckets(ownership, settings);
        TokenReserves reserves = new TokenReserves(board.self(), settings, table.roster());
        return new Components(buckets, reserves, new ShardHandover(ownership, buckets));
    }

    private void handleDecision(
            Components current, TokenDecision decision, long nowNanos, Consumer<TokenDecision> result) {
        if (!(decision instanceof TokenDecision.RequestTokens needed)) {
            result.accept(decision);
            return;
        }
        TokenRequest request = new TokenRequest(needed.team(), needed.bucket(), needed.wanted());
        if (needed.owner().equals(board.self())) {
            TokenAnswer answer = current.buckets().request(request, nowNanos);
            handleDecision(current, current.reserves().onAnswer(needed, nowNanos, answer, nowNanos), nowNanos, result);
            return;
        }
        peers.call(needed.owner(), request, TOKEN_TIMEOUT, (answer, now) -> {
            boolean answered = answer instanceof CallResult.Answered reply && reply.message() instanceof TokenAnswer;
            TokenDecision next = answered
                    ? current.reserves()
                            .onAnswer(needed, nowNanos, (TokenAnswer) ((CallResult.Answered) answer).message(), now)
                    : current.reserves().onNoAnswer(needed, now);
            handleDecision(current, next, now, result);
        });
    }

    /**
     * Repeats the request until the successor has accepted it or no attempt is left; the successor applies only the
     * first copy.
     */
    private void handOver(HostId successor, HandoverRequest request, int attemptsLeft) {
        peers.call(successor, request, HANDOVER_TIMEOUT, (answer, now) -> {
            boolean answered = answer instanceof CallResult.Answered reply
                    && reply.message() instanceof Acknowledgement acknowledgement
                    && acknowledgement.accepted();
            if (!answered && attemptsLeft > 1) {
                peers.schedule(HANDOVER_TIMEOUT.dividedBy(4), () -> handOver(successor, request, attemptsLeft - 1));
            }
        });
    }
}
