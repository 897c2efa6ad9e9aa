package org.auburnhoist.core.operation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.message.ClaimAnswer;
import org.auburnhoist.core.message.ClaimOutcome;
import org.auburnhoist.core.message.ClaimRequest;
import org.auburnhoist.core.message.ClaimResult;
import org.auburnhoist.core.message.ClaimVerdict;
import org.auburnhoist.core.message.RecordedAnswer;
import org.auburnhoist.core.operation.OperationRecord.State;
import org.jspecify.annotations.Nullable;

/**
 * Issues operation ids and grants each operation at most once. Not thread-safe.
 *
 * <pre>{@code
 * OperationHome home = new OperationHome(self, nowNanos, OperationSettings.DEFAULT, random);
 * String id = home.issue(nowNanos).encode();
 * ClaimAnswer answer = home.claim(new ClaimRequest(id, team, fingerprint, attempt), asking, nowNanos);
 * // The asking host runs the operation only if the verdict is GRANTED, then reports:
 * home.outcome(new ClaimOutcome(id, attempt, ClaimResult.ANSWERED, recorded), asking, nowNanos);
 * }</pre>
 */
public final class OperationHome {
    private final HostId self;
    private final OperationSettings settings;
    private final RandomGenerator random;
    private final Map<HostId, HomeRecords> homes = new HashMap<>();
    private final Map<HostId, HandoverAssembly> incoming = new HashMap<>();
    private final Map<HostId, Long> removedMembers = new HashMap<>();
    private final Deque<OperationRecord> answered = new ArrayDeque<>();
    private long answerBytes;
    private @Nullable HostId successor;
    private List<byte[]> exported = List.of();

    /**
     * Creates the home of a host that has just started.
     *
     * @param self the host's own id
     * @param startNanos the time of the host's start
     * @param settings limits
     * @param random source of the ids' random bits; must be unpredictable in a running fleet
     */
    public OperationHome(HostId self, long startNanos, OperationSettings settings, RandomGenerator random) {
        this.self = self;
        this.settings = settings;
        this.random = random;
        homes.put(self, new HomeRecords(startNanos, startNanos, 0, settings));
    }

    /** Returns a new id that names this host as its home. */
    public OperationId issue(long nowNanos) {
        return new OperationId(self, ownRecords().elapsedSeconds(nowNanos), random.nextLong(), random.nextInt());
    }

    /** Whether this host grants claims of the given home: its own, or one that was handed over to it completely. */
    public boolean isHomeOf(HostId home) {
        return successor == null && homes.containsKey(home);
    }

    /**
     * Decides about the right to run an operation.
     *
     * <p>A claim repeated by the same host with the same attempt number, after a lost answer, is granted again as long
     * as no outcome was reported.
     */
    public ClaimAnswer claim(ClaimRequest request, HostId asking, long nowNanos) {
        OperationId id = OperationId.parse(request.operationId()).getOrNull();
        if (id == null || !isHomeOf(id.issuer()) || removedMembers.containsKey(asking)) {
            return answer(ClaimVerdict.NOT_HOME);
        }
        HomeRecords records = homes.get(id.issuer());
        if (records == null || expireAndCheck(records, id, nowNanos)) {
            return answer(ClaimVerdict.EXPIRED);
        }
        OperationRecord record = records.find(id);
        if (record == null) {
            records.add(new OperationRecord(
                    id, request.team(), request.fingerprint(), State.RUNNING, asking, request.attempt()));
            return answer(ClaimVerdict.GRANTED);
        }
        if (!record.team.equals(request.team()) || record.fingerprint != request.fingerprint()) {
            return answer(ClaimVerdict.MISMATCH);
        }
        return claimKnown(record, asking, request.attempt());
    }

    private boolean expireAndCheck(HomeRecords records, OperationId id, long nowNanos) {
        records.expire(nowNanos).forEach(this::dropAnswer);
        return !records.isUsable(id, nowNanos);
    }

    private static ClaimAnswer claimKnown(OperationRecord record, HostId asking, long attempt) {
        switch (record.state) {
            case FREE:
                if (record.isHeldBy(asking, attempt)) {
                    // A repeated claim that arrives after its own give-back has nobody left to run it.
                    return answer(ClaimVerdict.RUNNING);
                }
                record.state = State.RUNNING;
                record.holder = asking;
                record.attempt = attempt;
                return answer(ClaimVerdict.GRANTED);
            case RUNNING:
                return answer(record.isHeldBy(asking, attempt) ? ClaimVerdict.GRANTED : ClaimVerdict.RUNNING);
            case DONE:
                return new ClaimAnswer(ClaimVerdict.DONE, record.answer);
            case UNKNOWN:
            default:
                return answer(ClaimVerdict.UNKNOWN);
        }
    }

    /**
     * Records the end of a claim; ignored unless it comes from the host and attempt that hold the claim.
     *
     * <p>An answer reported by a holder that was removed from the roster in the meantime still replaces "unknown",
     * because the holder has seen it.
     */
    public void recordOutcome(ClaimOutcome report, HostId asking, long nowNanos) {
        OperationId id = OperationId.parse(report.operationId()).getOrNull();
        HomeRecords records = id == null || !isHomeOf(id.issuer()) ? null : homes.get(id.issuer());
        OperationRecord record = id == null || records == null ? null : records.find(id);
        if (record == null || !record.isHeldBy(asking, report.attempt())) {
            return;
        }
        boolean running = record.state == State.RUNNING;
        if (report.result() == ClaimResult.ANSWERED && (running || record.state == State.UNKNOWN)) {
            record.state = State.DONE;
            keepAnswer(record, report.recorded());
        } else if (running) {
            record.state = report.result() == ClaimResult.NOT_RUN ? State.FREE : State.UNKNOWN;
        }
    }

    /** Turns the claims of a host that was removed from the roster into "unknown"; later claims of it are refused. */
    public void memberRemoved(HostId member, long nowNanos) {
        removedMembers.put(member, nowNanos);
        incoming.remove(member);
        for (HomeRecords records : homes.values()) {
            for (OperationRecord record : records.all()) {
                if (record.state == State.RUNNING && record.holder.equals(member)) {
                    record.state = State.UNKNOWN;
                }
            }
        }
    }

    /** Drops what has expired; to be called about once a second. */
    public void tick(long nowNanos) {
        long lifetimeNanos = settings.lifetime().toNanos();
        homes.values().forEach(records -> records.expire(nowNanos).forEach(this::dropAnswer));
        homes.entrySet()
                .removeIf(entry -> !entry.getKey().equals(self)
                        && entry.getValue().size() == 0
                        && entry.getValue().isPastLifetime(nowNanos));
        removedMembers.values().removeIf(removedAt -> nowNanos - removedAt > lifetimeNanos);
    }

    /** Number of remembered operations. */
    public int recordCount() {
        return homes.values().stream().mapToInt(HomeRecords::size).sum();
    }

    /** Bytes of the recorded answers. */
    public long answerBytes() {
        return answerBytes;
    }

    /**
     * Stops granting and returns all records for one successor, in parts that each fit a frame.
     *
     * <p>A repeated call for the same successor returns the same parts. The records never go to a second successor,
     * because the first one may have received them although its acknowledgement was lost.
     *
     * @throws IllegalStateException if the records were exported for another successor
     */
    public List<byte[]> export(HostId chosen, long nowNanos) {
        HostId earlier = successor;
        if (earlier == null) {
            exported = HandoverCodec.encode(self, chosen, homes, nowNanos);
            successor = chosen;
        } else if (!earlier.equals(chosen)) {
            throw new IllegalStateException(
                    "chosen: " + chosen + ", expected " + earlier + ", to which the records were exported");
        }
        return exported;
    }

    /**
     * Takes over records from a stopping host. Repeated parts are harmless; grants begin when all parts have come.
     *
     * @return false if the part is unreadable or meant for another host
     */
    public boolean importPart(byte[] part, long nowNanos) {
        HandoverCodec.Part read = HandoverCodec.decode(part);
        if (read == null || !read.successor().equals(self) || successor != null) {
            return false;
        }
        if (homes.containsKey(read.from())) {
            return true;
        }
        HandoverAssembly assembly = incoming.computeIfAbsent(
                read.from(), from -> new HandoverAssembly(nowNanos, read.partCount(), settings));
        if (!assembly.add(read)) {
            return true;
        }
        incoming.remove(read.from());
        assembly.homes().forEach((home, records) -> {
            if (homes.putIfAbsent(home, records) == null) {
                records.all().forEach(this::adopt);
            }
        });
        tick(nowNanos);
        return true;
    }

    private void adopt(OperationRecord record) {
        if (record.state == State.RUNNING && removedMembers.containsKey(record.holder)) {
            record.state = State.UNKNOWN;
        }
        keepAnswer(record, record.answer);
    }

    private HomeRecords ownRecords() {
        HomeRecords records = homes.get(self);
        if (records == null) {
            throw new IllegalStateException("homes: no records of " + self);
        }
        return records;
    }

    private void keepAnswer(OperationRecord record, @Nullable RecordedAnswer answer) {
        if (answer == null) {
            return;
        }
        record.answer = answer;
        answered.addLast(record);
        answerBytes += record.answerBytes();
        while (answerBytes > settings.maxAnswerBytes() && !answered.isEmpty()) {
            reduceToStatus(answered.removeFirst());
        }
    }

    private void reduceToStatus(OperationRecord record) {
        RecordedAnswer full = record.answer;
        if (full != null) {
            answerBytes -= record.answerBytes();
            record.answer = new RecordedAnswer(full.status(), List.of(), new byte[0], false);
        }
    }

    private void dropAnswer(OperationRecord record) {
        answerBytes -= record.answerBytes();
        record.answer = null;
        // The queue of answers is in order of arrival, so that dropped records gather near its front.
        while (!answered.isEmpty() && answered.peekFirst().answer == null) {
            answered.removeFirst();
        }
    }

    private static ClaimAnswer answer(ClaimVerdict verdict) {
        return new ClaimAnswer(verdict, null);
    }
}
