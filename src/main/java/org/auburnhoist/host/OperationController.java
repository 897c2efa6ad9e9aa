package org.auburnhoist.host;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.dispatch.DispatcherPlacement;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.MemberState;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.Acknowledgement;
import org.auburnhoist.core.message.ClaimAnswer;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimVerdict;
import org.auburnhoist.core.message.HandoverRequest;
import org.auburnhoist.core.message.HandoverRequest.HandoverKind;
import org.auburnhoist.core.operation.OperationHome;
import org.auburnhoist.core.operation.OperationId;
import org.auburnhoist.core.operation.OperationSettings;
import org.auburnhoist.peer.CallResult;
import org.jspecify.annotations.Nullable;

/** Runs the operation home of this host, and sends claims and outcome reports to the homes of other operations. */
final class OperationController {
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);
    private static final int CLAIM_ATTEMPTS = 2;

    /** With the delay between rounds, limits the wait for a handover to about one second. */
    private static final int MAX_HANDOVER_ROUNDS = 10;

    private static final Duration HANDOVER_RETRY_DELAY = Duration.ofMillis(100);
    private static final int REPORT_ATTEMPTS = 5;

    /**
     * Number of members, in the order of {@link DispatcherPlacement}, that may hold the records of a host that has
     * left.
     */
    private static final int MAX_SUCCESSORS_ASKED = 3;

    private final Blackboard board;
    private final MemberCalls peers;
    private final OperationHome home;
    private final DispatcherPlacement successors = new DispatcherPlacement();
    private Set<HostId> members = Set.of();
    private long nextAttempt;

    OperationController(Blackboard board, MemberCalls peers, OperationSettings settings, long nowNanos) {
        this.board = board;
        this.peers = peers;
        this.home = new OperationHome(board.self(), nowNanos, settings, new SecureRandom());
    }

    /**
     * Receives the answer to a claim on the control thread; the answer is null if no home of the operation gave one.
     */
    interface ClaimHandler extends BiConsumer<@Nullable ClaimAnswer, Long> {}

    /** Issues a new operation id; returns null if this host may not issue one. */
    @Nullable
    OperationId issue(long nowNanos) {
        return board.isMember() && home.isHomeOf(board.self()) ? home.issue(nowNanos) : null;
    }

    /** Returns a new attempt number, which this host uses for one claim. */
    long newAttempt() {
        return nextAttempt++;
    }

    /** Requests the right to run an operation from the operation's home. */
    void claim(OperationId id, ClaimRequest request, long nowNanos, ClaimHandler handler) {
        if (home.isHomeOf(id.issuer())) {
            handler.accept(home.claim(request, board.self(), nowNanos), nowNanos);
            return;
        }
        sendClaim(new PendingClaim(id.issuer(), candidateHomes(id), request, handler), nowNanos);
    }

    /** Reports the outcome of a claim; repeats the report until a home has acknowledged it or no attempt is left. */
    void report(OperationId id, ClaimOutcome outcome, long nowNanos) {
        if (home.isHomeOf(id.issuer())) {
            home.recordOutcome(outcome, board.self(), nowNanos);
        } else {
            sendReport(candidateHomes(id), 0, outcome, REPORT_ATTEMPTS);
        }
    }

    /** Handles a claim of another host. */
    ClaimAnswer handle(HostId from, ClaimRequest request, long nowNanos) {
        return home.claim(request, from, nowNanos);
    }

    /** Handles an outcome report of another host. */
    Acknowledgement handle(HostId from, ClaimOutcome outcome, long nowNanos) {
        OperationId id = OperationId.parse(outcome.operationId()).getOrNull();
        boolean accepted = id != null && home.isHomeOf(id.issuer());
        home.recordOutcome(outcome, from, nowNanos);
        return new Acknowledgement(accepted);
    }

    /** Takes over operation records of a host that shuts down. */
    Acknowledgement handle(HandoverRequest request, long nowNanos) {
        return new Acknowledgement(home.importPart(request.content(), nowNanos));
    }

    /** Applies the current roster; outcomes of claims of removed members become unknown. */
    void documentsChanged(long nowNanos) {
        Roster roster = board.roster();
        if (roster == null) {
            return;
        }
        Set<HostId> currentMembers = new HashSet<>();
        roster.members().forEach(member -> currentMembers.add(member.id()));
        members.stream()
                .filter(member -> !currentMembers.contains(member))
                .forEach(member -> home.memberRemoved(member, nowNanos));
        members = currentMembers;
        successors.setMembers(roster.members().stream()
                .filter(member -> member.state() == MemberState.SERVING)
                .map(Member::id)
                .toList());
    }

    /** Expires old records; to be called about once per second. */
    void tick(long nowNanos) {
        home.tick(nowNanos);
    }

    /** Number of operation records that this host holds. */
    int recordCount() {
        return home.recordCount();
    }

    /** Hands all records over to a successor; completes with whether the successor has accepted them. */
    CompletableFuture<Boolean> handOver(long nowNanos) {
        HostId successor = successors.order(board.self().toString()).stream()
                .filter(member -> !member.equals(board.self()))
                .findFirst()
                .orElse(null);
        if (successor == null) {
            return CompletableFuture.completedFuture(home.recordCount() == 0);
        }
        // Even if there is no record, the successor has to learn that it may grant the ids that callers hold but have
        // not used.
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        sendPart(successor, home.export(successor, nowNanos), 0, REPORT_ATTEMPTS, done);
        return done;
    }

    private void sendPart(
            HostId successor, List<byte[]> parts, int index, int attemptsLeft, CompletableFuture<Boolean> done) {
        if (index == parts.size() || attemptsLeft == 0) {
            done.complete(attemptsLeft > 0);
            return;
        }
        HandoverRequest request = new HandoverRequest(HandoverKind.OPERATION_RECORDS, parts.get(index));
        peers.call(successor, request, REPORT_TIMEOUT, (result, now) -> {
            if (isAccepted(result)) {
                sendPart(successor, parts, index + 1, REPORT_ATTEMPTS, done);
            } else {
                peers.schedule(
                        REPORT_TIMEOUT.dividedBy(4), () -> sendPart(successor, parts, index, attemptsLeft - 1, done));
            }
        });
    }

    private List<HostId> candidateHomes(OperationId id) {
        Roster roster = board.roster();
        List<HostId> homes = new ArrayList<>();
        if (roster != null && roster.member(id.issuer()).isPresent()) {
            homes.add(id.issuer());
        }
        // A home that shuts down hands its records over before it leaves the roster, so a successor may hold them
        // already.
        successors.order(id.issuer().toString()).stream()
                .filter(candidate -> !candidate.equals(id.issuer()))
                .limit(MAX_SUCCESSORS_ASKED)
                .forEach(homes::add);
        return homes;
    }

    private void sendClaim(PendingClaim pending, long nowNanos) {
        if (pending.index == pending.targets.size()) {
            retryOrFail(pending, nowNanos);
            return;
        }
        HostId target = pending.targets.get(pending.index);
        if (target.equals(board.self())) {
            handleAnswer(pending, target, home.claim(pending.request, target, nowNanos), nowNanos);
            return;
        }
        peers.call(target, pending.request, CLAIM_TIMEOUT, (result, now) -> {
            if (result instanceof CallResult.Answered reply && reply.message() instanceof ClaimAnswer answer) {
                handleAnswer(pending, target, answer, now);
            } else if (pending.attempt < CLAIM_ATTEMPTS) {
                pending.attempt++;
                sendClaim(pending, now);
            } else {
                tryNextTarget(pending, now);
            }
        });
    }

    private void handleAnswer(PendingClaim pending, HostId target, ClaimAnswer answer, long nowNanos) {
        if (answer.verdict() != ClaimVerdict.NOT_HOME) {
            pending.handler.accept(answer, nowNanos);
            return;
        }
        pending.isHandingOver |= target.equals(pending.home);
        tryNextTarget(pending, nowNanos);
    }

    private void tryNextTarget(PendingClaim pending, long nowNanos) {
        pending.index++;
        pending.attempt = 1;
        sendClaim(pending, nowNanos);
    }

    /**
     * Retries while the home hands its records over; during that short time, neither it nor its successor grants
     * claims.
     */
    private void retryOrFail(PendingClaim pending, long nowNanos) {
        if (!pending.isHandingOver || pending.round == MAX_HANDOVER_ROUNDS) {
            pending.handler.accept(null, nowNanos);
            return;
        }
        pending.round++;
        pending.index = 0;
        pending.attempt = 1;
        peers.schedule(HANDOVER_RETRY_DELAY, () -> sendClaim(pending, System.nanoTime()));
    }

    /** A claim that is sent in turn to the hosts that may hold the operation's records. */
    private static final class PendingClaim {
        private final HostId home;
        private final List<HostId> targets;
        private final ClaimRequest request;
        private final ClaimHandler handler;
        private int index;
        private int attempt = 1;
        private int round = 1;
        private boolean isHandingOver;

        PendingClaim(HostId home, List<HostId> targets, ClaimRequest request, ClaimHandler handler) {
            this.home = home;
            this.targets = targets;
            this.request = request;
            this.handler = handler;
        }
    }

    /**
     * Sends the report to the possible homes in turn until one has accepted it; after the last one, starts again after
     * a delay.
     */
    private void sendReport(List<HostId> targets, int index, ClaimOutcome outcome, int attemptsLeft) {
        if (index == targets.size()) {
            if (attemptsLeft > 1) {
                peers.schedule(REPORT_TIMEOUT.dividedBy(4), () -> sendReport(targets, 0, outcome, attemptsLeft - 1));
            }
            return;
        }
        HostId target = targets.get(index);
        if (target.equals(board.self())) {
            home.recordOutcome(outcome, target, System.nanoTime());
            sendReport(targets, index + 1, outcome, attemptsLeft);
            return;
        }
        peers.call(target, outcome, REPORT_TIMEOUT, (result, now) -> {
            if (!isAccepted(result)) {
                sendReport(targets, index + 1, outcome, attemptsLeft);
            }
        });
    }

    private static boolean isAccepted(CallResult result) {
        return result instanceof CallResult.Answered reply
                && reply.message() instanceof Acknowledgement acknowledgement
                && acknowledgement.accepted();
    }
}
