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

/** Operations of a host: those whose home it is, and claims at the homes of others. */
final class OperationController {
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);
    private static final int CLAIM_ATTEMPTS = 2;
    private static final int REPORT_ATTEMPTS = 5;

    /** Members, in the order of {@link DispatcherPlacement}, that may hold the records of a host that has left. */
    private static final int SUCCESSORS_ASKED = 3;

    private final Blackboard board;
    private final Peers peers;
    private final OperationHome home;
    private final DispatcherPlacement successors = new DispatcherPlacement();
    private Set<HostId> members = Set.of();
    private long nextAttempt;

    OperationController(Blackboard board, Peers peers, OperationSettings settings, long nowNanos) {
        this.board = board;
        this.peers = peers;
        this.home = new OperationHome(board.self(), nowNanos, settings, new SecureRandom());
    }

    /** Receives the answer to a claim on the control thread; the answer is null if no home could be asked. */
    interface ClaimHandler extends BiConsumer<@Nullable ClaimAnswer, Long> {}

    /** A new operation id, or null if this host may not issue one. */
    @Nullable
    OperationId issue(long nowNanos) {
        return board.isMember() && home.isHomeOf(board.self()) ? home.issue(nowNanos) : null;
    }

    /** A number that this host uses for one claim. */
    long newAttempt() {
        return nextAttempt++;
    }

    /** Asks the operation's home for the right to run it. */
    void claim(OperationId id, ClaimRequest request, long nowNanos, ClaimHandler handler) {
        if (home.isHomeOf(id.home())) {
            handler.accept(home.claim(request, board.self(), nowNanos), nowNanos);
            return;
        }
        claimAt(homesOf(id), 0, CLAIM_ATTEMPTS, request, nowNanos, handler);
    }

    /** Reports how a claim ended, repeatedly until the home has acknowledged it. */
    void report(OperationId id, ClaimOutcome outcome, long nowNanos) {
        if (home.isHomeOf(id.home())) {
            home.outcome(outcome, board.self(), nowNanos);
        } else {
            reportTo(homesOf(id), 0, outcome, REPORT_ATTEMPTS);
        }
    }

    /** Answers another host's claim. */
    ClaimAnswer answer(HostId from, ClaimRequest request, long nowNanos) {
        return home.claim(request, from, nowNanos);
    }

    /** Takes in another host's report. */
    Acknowledgement answer(HostId from, ClaimOutcome outcome, long nowNanos) {
        OperationId id = OperationId.parse(outcome.operationId()).getOrNull();
        boolean accepted = id != null && home.isHomeOf(id.home());
        home.outcome(outcome, from, nowNanos);
        return new Acknowledgement(accepted);
    }

    /** Takes over records of a stopping host. */
    Acknowledgement answer(HandoverRequest request, long nowNanos) {
        return new Acknowledgement(home.importPart(request.content(), nowNanos));
    }

    /** Follows the roster: claims of removed members become unknown. */
    void documentsChanged(long nowNanos) {
        Roster roster = board.roster();
        if (roster == null) {
            return;
        }
        Set<HostId> present = new HashSet<>();
        roster.members().forEach(member -> present.add(member.id()));
        members.stream()
                .filter(member -> !present.contains(member))
                .forEach(member -> home.memberRemoved(member, nowNanos));
        members = present;
        successors.setMembers(roster.members().stream()
                .filter(member -> member.state() == MemberState.SERVING)
                .map(Member::id)
                .toList());
    }

    /** Lets records expire; to be called about once a second. */
    void tick(long nowNanos) {
        home.tick(nowNanos);
    }

    /** Number of operations remembered. */
    int recordCount() {
        return home.recordCount();
    }

    /** Hands all records to a successor; completes with whether it took them. */
    CompletableFuture<Boolean> handOver(long nowNanos) {
        HostId successor = successors.order(board.self().toString()).stream()
                .filter(member -> !member.equals(board.self()))
                .findFirst()
                .orElse(null);
        if (successor == null) {
            return CompletableFuture.completedFuture(home.recordCount() == 0);
        }
        // Without any record the successor still has to learn that it may grant the ids that callers hold unused.
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
                peers.later(
                        REPORT_TIMEOUT.dividedBy(4), () -> sendPart(successor, parts, index, attemptsLeft - 1, done));
            }
        });
    }

    private List<HostId> homesOf(OperationId id) {
        Roster roster = board.roster();
        List<HostId> homes = new ArrayList<>();
        if (roster != null && roster.member(id.home()).isPresent()) {
            homes.add(id.home());
        }
        // A home that is about to leave has handed its records over before it is out of the roster.
        successors.order(id.home().toString()).stream()
                .filter(candidate -> !candidate.equals(id.home()))
                .limit(SUCCESSORS_ASKED)
                .forEach(homes::add);
        return homes;
    }

    private void claimAt(
            List<HostId> targets,
            int index,
            int attemptsLeft,
            ClaimRequest request,
            long nowNanos,
            ClaimHandler handler) {
        if (index == targets.size()) {
            handler.accept(null, nowNanos);
            return;
        }
        HostId target = targets.get(index);
        if (target.equals(board.self())) {
            handle(home.claim(request, target, nowNanos), targets, index, request, nowNanos, handler);
            return;
        }
        peers.call(target, request, CLAIM_TIMEOUT, (result, now) -> {
            if (result instanceof CallResult.Answered reply && reply.message() instanceof ClaimAnswer answer) {
                handle(answer, targets, index, request, now, handler);
            } else if (attemptsLeft > 1) {
                claimAt(targets, index, attemptsLeft - 1, request, now, handler);
            } else {
                claimAt(targets, index + 1, CLAIM_ATTEMPTS, request, now, handler);
            }
        });
    }

    private void handle(
            ClaimAnswer answer,
            List<HostId> targets,
            int index,
            ClaimRequest request,
            long nowNanos,
            ClaimHandler handler) {
        if (answer.verdict() == ClaimVerdict.NOT_HOME) {
            claimAt(targets, index + 1, CLAIM_ATTEMPTS, request, nowNanos, handler);
        } else {
            handler.accept(answer, nowNanos);
        }
    }

    /** Asks one possible home after the other until one has accepted the report, then starts again after a pause. */
    private void reportTo(List<HostId> targets, int index, ClaimOutcome outcome, int attemptsLeft) {
        if (index == targets.size()) {
            if (attemptsLeft > 1) {
                peers.later(REPORT_TIMEOUT.dividedBy(4), () -> reportTo(targets, 0, outcome, attemptsLeft - 1));
            }
            return;
        }
        HostId target = targets.get(index);
        if (target.equals(board.self())) {
            home.outcome(outcome, target, System.nanoTime());
            reportTo(targets, index + 1, outcome, attemptsLeft);
            return;
        }
        peers.call(target, outcome, REPORT_TIMEOUT, (result, now) -> {
            if (!isAccepted(result)) {
                reportTo(targets, index + 1, outcome, attemptsLeft);
            }
        });
    }

    private static boolean isAccepted(CallResult result) {
        return result instanceof CallResult.Answered reply
                && reply.message() instanceof Acknowledgement acknowledgement
                && acknowledgement.accepted();
    }
}
