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

    /** With the pause between rounds, bounds the wait for a handover to about a second. */
    private static final int MAX_HANDOVER_ROUNDS = 10;

    private static final Duration HANDOVER_RETRY_DELAY = Duration.ofMillis(100);
    private static final int REPORT_ATTEMPTS = 5;

    /** Members, in the order of {@link DispatcherPlacement}, that may hold the records of a host that has left. */
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
        if (home.isHomeOf(id.issuer())) {
            handler.accept(home.claim(request, board.self(), nowNanos), nowNanos);
            return;
        }
        sendClaim(new HomeSearch(id.issuer(), candidateHomes(id), request, handler), nowNanos);
    }

    /** Reports how a claim ended, repeatedly until the home has acknowledged it. */
    void report(OperationId id, ClaimOutcome outcome, long nowNanos) {
        if (home.isHomeOf(id.issuer())) {
            home.recordOutcome(outcome, board.self(), nowNanos);
        } else {
            sendReport(candidateHomes(id), 0, outcome, REPORT_ATTEMPTS);
        }
    }

    /** Answers another host's claim. */
    ClaimAnswer handle(HostId from, ClaimRequest request, long nowNanos) {
        return home.claim(request, from, nowNanos);
    }

    /** Takes in another host's report. */
    Acknowledgement handle(HostId from, ClaimOutcome outcome, long nowNanos) {
        OperationId id = OperationId.parse(outcome.operationId()).getOrNull();
        boolean accepted = id != null && home.isHomeOf(id.issuer());
        home.recordOutcome(outcome, from, nowNanos);
        return new Acknowledgement(accepted);
    }

    /** Takes over records of a stopping host. */
    Acknowledgement handle(HandoverRequest request, long nowNanos) {
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
        // A home that is about to leave has handed its records over before it is out of the roster.
        successors.order(id.issuer().toString()).stream()
                .filter(candidate -> !candidate.equals(id.issuer()))
                .limit(MAX_SUCCESSORS_ASKED)
                .forEach(homes::add);
        return homes;
    }

    private void sendClaim(HomeSearch search, long nowNanos) {
        if (search.index == search.targets.size()) {
            retryOrFail(search, nowNanos);
            return;
        }
        HostId target = search.targets.get(search.index);
        if (target.equals(board.self())) {
            handleAnswer(search, target, home.claim(search.request, target, nowNanos), nowNanos);
            return;
        }
        peers.call(target, search.request, CLAIM_TIMEOUT, (result, now) -> {
            if (result instanceof CallResult.Answered reply && reply.message() instanceof ClaimAnswer answer) {
                handleAnswer(search, target, answer, now);
            } else if (search.attempt < CLAIM_ATTEMPTS) {
                search.attempt++;
                sendClaim(search, now);
            } else {
                tryNextTarget(search, now);
            }
        });
    }

    private void handleAnswer(HomeSearch search, HostId target, ClaimAnswer answer, long nowNanos) {
        if (answer.verdict() != ClaimVerdict.NOT_HOME) {
            search.handler.accept(answer, nowNanos);
            return;
        }
        search.isHandingOver |= target.equals(search.home);
        tryNextTarget(search, nowNanos);
    }

    private void tryNextTarget(HomeSearch search, long nowNanos) {
        search.index++;
        search.attempt = 1;
        sendClaim(search, nowNanos);
    }

    /** While a home hands its records over, neither it nor its successor grants; that takes a moment. */
    private void retryOrFail(HomeSearch search, long nowNanos) {
        if (!search.isHandingOver || search.round == MAX_HANDOVER_ROUNDS) {
            search.handler.accept(null, nowNanos);
            return;
        }
        search.round++;
        search.index = 0;
        search.attempt = 1;
        peers.schedule(HANDOVER_RETRY_DELAY, () -> sendClaim(search, System.nanoTime()));
    }

    /** A claim on its way through the hosts that may hold the operation's records. */
    private static final class HomeSearch {
        private final HostId home;
        private final List<HostId> targets;
        private final ClaimRequest request;
        private final ClaimHandler handler;
        private int index;
        private int attempt = 1;
        private int round = 1;
        private boolean isHandingOver;

        HomeSearch(HostId home, List<HostId> targets, ClaimRequest request, ClaimHandler handler) {
            this.home = home;
            this.targets = targets;
            this.request = request;
            this.handler = handler;
        }
    }

    /** Asks one possible home after the other until one has accepted the report, then starts again after a pause. */
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
