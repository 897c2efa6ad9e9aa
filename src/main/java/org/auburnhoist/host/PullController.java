package org.auburnhoist.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.blackboard.Blackboard;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.membership.PeerSelector;
import org.auburnhoist.core.membership.Roster;
import org.auburnhoist.core.message.ChunkAnswer;
import org.auburnhoist.core.message.ChunkRequest;
import org.auburnhoist.core.message.DocumentAnswer;
import org.auburnhoist.core.message.DocumentKind;
import org.auburnhoist.core.message.DocumentRequest;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.PullAnswer;
import org.auburnhoist.core.message.PullRequest;
import org.auburnhoist.peer.CallResult;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges document versions and contact ages with other members, and fetches documents of which a member has a newer
 * version.
 */
final class PullController {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int ANNOUNCE_TARGETS = 3;

    private final Blackboard board;
    private final MemberCalls peers;
    private final PeerSelector peerSelector;
    private final DocumentController documents;
    private final List<InetSocketAddress> seeds;
    private int nextSeed;

    PullController(
            Blackboard board,
            MemberCalls peers,
            PeerSelector schedule,
            DocumentController documents,
            List<InetSocketAddress> seeds) {
        this.board = board;
        this.peers = peers;
        this.peerSelector = schedule;
        this.documents = documents;
        this.seeds = seeds;
    }

    /** Pulls from one random member, or from a seed while no roster is known. */
    void pullNext() {
        Roster roster = board.roster();
        if (roster == null) {
            if (!seeds.isEmpty()) {
                pull(seeds.get(nextSeed++ % seeds.size()));
            }
            return;
        }
        peerSelector.nextPeer(roster, board.self()).ifPresent(this::pull);
    }

    /** Tells a few members that this host has a newer document, so that they pull from it. */
    void announce() {
        Roster roster = board.roster();
        if (roster != null) {
            peerSelector.randomPeers(roster, board.self(), ANNOUNCE_TARGETS).forEach(this::pull);
        }
    }

    /** Handles a pull request; if the peer has a newer document, this host pulls from it in turn. */
    PullAnswer handle(HostId from, PullRequest request, long nowNanos) {
        Roster roster = board.roster();
        long ownRoster = roster == null ? 0 : roster.version();
        boolean peerIsAhead = request.rosterVersion() > ownRoster
                || request.configurationVersion() > board.activeConfiguration().version();
        if (peerIsAhead && roster != null) {
            roster.member(from).ifPresent(this::pull);
        }
        FreshnessTable table = board.freshness();
        return table == null
                ? new PullAnswer(0, 0, 255, new byte[0], new byte[0], new byte[0])
                : table.answer(nowNanos);
    }

    private void pull(Member member) {
        pull(MemberCalls.parseAddress(member.peerAddress()));
    }

    private void pull(InetSocketAddress address) {
        Roster roster = board.roster();
        long sentAt = System.nanoTime();
        PullRequest request = new PullRequest(
                roster == null ? 0 : roster.version(),
                board.activeConfiguration().version());
        peers.call(address, request, CALL_TIMEOUT, (result, now) -> {
            if (result instanceof CallResult.Answered answered && answered.message() instanceof PullAnswer answer) {
                handleAnswer(address, answered.from(), answer, sentAt, now);
            }
        });
    }

    private void handleAnswer(
            InetSocketAddress address, HostId from, PullAnswer answer, long sentAtNanos, long nowNanos) {
        Roster roster = board.roster();
        boolean newerRoster = answer.rosterVersion() > (roster == null ? 0 : roster.version());
        boolean newerConfiguration =
                answer.configurationVersion() > board.activeConfiguration().version();
        if (!newerRoster && !newerConfiguration) {
            merge(from, answer, sentAtNanos, nowNanos);
            return;
        }
        CompletableFuture<byte[]> head = newerConfiguration
                ? fetchDocument(address, DocumentKind.CONFIGURATION, answer.configurationVersion())
                : noDocument();
        CompletableFuture<byte[]> newRoster =
                newerRoster ? fetchDocument(address, DocumentKind.ROSTER, answer.rosterVersion()) : noDocument();
        head.thenCombine(newRoster, (headBytes, rosterBytes) -> {
            documents.offer(
                    headBytes,
                    rosterBytes,
                    digest -> fetchChunk(address, digest),
                    now -> merge(from, answer, sentAtNanos, now));
            return true;
        });
    }

    private void merge(HostId from, PullAnswer answer, long sentAtNanos, long nowNanos) {
        FreshnessTable table = board.freshness();
        if (table != null) {
            table.merge(from, sentAtNanos, answer, nowNanos);
        }
    }

    private static CompletableFuture<byte[]> noDocument() {
        return CompletableFuture.completedFuture(new byte[0]);
    }

    private CompletableFuture<byte[]> fetchDocument(InetSocketAddress address, DocumentKind kind, long version) {
        CompletableFuture<byte[]> content = new CompletableFuture<>();
        peers.call(address, new DocumentRequest(kind, version), CALL_TIMEOUT, (result, now) -> {
            Optional<DocumentAnswer> answer = messageOf(result, DocumentAnswer.class);
            content.complete(answer.map(DocumentAnswer::content).orElseGet(() -> new byte[0]));
        });
        return content;
    }

    private CompletableFuture<byte @Nullable []> fetchChunk(InetSocketAddress address, String digest) {
        CompletableFuture<byte @Nullable []> content = new CompletableFuture<>();
        peers.call(address, new ChunkRequest(digest), CALL_TIMEOUT, (result, now) -> {
            ChunkAnswer answer = messageOf(result, ChunkAnswer.class).orElse(null);
            content.complete(answer == null || !answer.found() ? null : answer.content());
        });
        return content;
    }

    private static <T extends Message> Optional<T> messageOf(CallResult result, Class<T> type) {
        return result instanceof CallResult.Answered answered && type.isInstance(answered.message())
                ? Optional.of(type.cast(answered.message()))
                : Optional.empty();
    }
}
