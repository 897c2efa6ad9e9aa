package org.auburnhoist.gateway;

import java.io.IOException;
import java.time.Duration;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.membership.FleetMember;
import org.auburnhoist.core.message.ChunkAnswer;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.host.HostCalls;
import org.auburnhoist.host.MemberCalls;
import org.auburnhoist.peer.CallResult;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges a {@link FleetRecord} with the coordinator, through which all hosts get it: two hosts compare the hashes of
 * their copies, and send the copies only if these differ.
 *
 * <p>A copy is sent as a {@link ChunkAnswer}, which hosts of earlier releases know and acknowledge without using it;
 * they would close the connection on a message of a new kind. Confined to the control thread.
 */
final class FleetRecordExchange {
    /** Interval at which copies are compared while this host's copy does not change. */
    private static final long COMPARE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private static final Duration TIMEOUT = Duration.ofMillis(400);
    private static final byte[] NO_CONTENT = new byte[0];

    private final FleetRecord record;
    private final HostCalls peers;
    private @Nullable HostId comparedWith;
    private long comparedHash;
    private long comparedNanos;

    FleetRecordExchange(FleetRecord record, HostCalls peers) {
        this.record = record;
        this.peers = peers;
    }

    /** Called about twice a second with the coordinator in use. */
    void tick(FleetMember coordinator, long nowNanos) {
        boolean known = coordinator.id().equals(comparedWith);
        boolean changed = !known || record.hash(nowNanos) != comparedHash;
        if (changed || nowNanos - comparedNanos >= COMPARE_INTERVAL_NANOS) {
            comparedNanos = nowNanos;
            send(coordinator, known && changed, nowNanos);
        }
    }

    private void send(FleetMember coordinator, boolean withContent, long nowNanos) {
        peers.call(
                MemberCalls.parseAddress(coordinator.peerAddress()),
                message(withContent, nowNanos),
                TIMEOUT,
                (result, now) -> {
                    if (result instanceof CallResult.Answered answered
                            && answered.message() instanceof ChunkAnswer answer) {
                        comparedWith = coordinator.id();
                        mergeContent(answer, coordinator.id(), now);
                        comparedHash = parseHash(answer.digest());
                        if (!withContent && record.hash(now) != comparedHash) {
                            send(coordinator, true, now);
                        }
                    }
                });
    }

    /** Whether a message that another host has sent belongs to the record. */
    boolean handles(Message message) {
        return message instanceof ChunkAnswer chunk && chunk.digest().startsWith(record.name() + ":");
    }

    /** Answers another host's message, with this host's copy if that of the other host differs. */
    ChunkAnswer handle(Message message, HostId from, long nowNanos) {
        if (!(message instanceof ChunkAnswer chunk)) {
            throw new IllegalArgumentException("message: expected a copy of " + record.name() + ", got " + message);
        }
        mergeContent(chunk, from, nowNanos);
        return message(parseHash(chunk.digest()) != record.hash(nowNanos), nowNanos);
    }

    private ChunkAnswer message(boolean withContent, long nowNanos) {
        String digest = record.name() + ":" + Long.toHexString(record.hash(nowNanos));
        return new ChunkAnswer(digest, withContent, withContent ? record.encode(nowNanos) : NO_CONTENT);
    }

    /** The hash of a sender's copy; a malformed one counts as a copy of which nothing is known. */
    private long parseHash(String digest) {
        try {
            return Long.parseUnsignedLong(digest.substring(digest.indexOf(':') + 1), 16);
        } catch (NumberFormatException cause) {
            Event.named("fleet-record-unreadable")
                    .with("record", record.name())
                    .with("cause", cause)
                    .warn();
            return 0;
        }
    }

    private void mergeContent(ChunkAnswer chunk, HostId from, long nowNanos) {
        if (!chunk.found()) {
            return;
        }
        try {
            record.merge(chunk.content(), nowNanos);
        } catch (IOException cause) {
            Event.named("fleet-record-unreadable")
                    .with("record", record.name())
                    .with("from", from.name())
                    .with("cause", cause)
                    .warn();
        }
    }
}
