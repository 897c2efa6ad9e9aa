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
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.operation.OperationRecord.State;
import org.jspecify.annotations.Nullable;

/**
 * Issues operation ids and, as the home of these ids, grants the right to run each operation at most once. Not
 * thread-safe.
 *
 * <pre>{@code
 * OperationHome home = new OperationHome(self, nowNanos, OperationSettings.DEFAULT, random);
 * String id = home.issue(nowNanos).encode();
 * ClaimAnswer answer = home.claim(new ClaimRequest(id, team, fingerprint, attempt), claimant, nowNanos);
 * // The claimant runs the operation only if the verdict is GRANTED, and then reports the outcome:
 * home.recordOutcome(new ClaimOutcome(id, attempt, ClaimResult.ANSWERED, recorded), claimant, nowNanos);
 * }</pre>
 */
public final class OperationHome {
    private final HostId self;
    private final OperationSettings settings;
    private final RandomGenerator random;
    private final Map<HostId, IssuerRecords> recordsByIssuer = new HashMap<>();
    private final Map<HostId, HandoverAssembly> incomingHandovers = new HashMap<>();
    private final Map<HostId, Long> removedMembers = new HashMap<>();
    private final Deque<OperationRecord> answeredRecords = new ArrayDeque<>();
    private long answerBytes;
    private @Nullable HostId successor;
    private List<byte[]> exportedParts = List.of();

    /**
     * Creates the home of a host that has just started.
     *
     * @param self the id of the host
     * @param startNanos the start time of the host
     * @param settings limits on the records
     * @param random source of the random bits of the ids; in production it must be unpredictable
     */
    public OperationHome(HostId self, long startNanos, OperationSettings settings, RandomGenerator random) {
        this.self = self;
        this.settings = settings;
        this.random = random;
        recordsByIssuer.put(self, new IssuerRecords(startNanos, startNanos, 0, settings));
    }

    /** Issues a new id with this host as its issuer. */
    public OperationId issue(long nowNanos) {
        return new OperationId(self, ownRecords().elapsedSeconds(nowNanos), random.nextLong(), random.nextInt());
    }

    /**
     * Returns whether this host grants claims on ids of the given issuer: its own ids, or those of a host whose
     * handover to it is complete.
     */
    public boolean isHomeOf(HostId issuer) {
        return successor == null && recordsByIssuer.containsKey(issuer);
    }

    /**
     * Decides whether the claimant may run an operation.
     *
     * <p>If the answer to a granted claim is lost, the same host may repeat the claim with the same attempt number. It
     * is granted again as long as no outcome was reported.
     */
    public ClaimAnswer claim(ClaimRequest request, HostId claimant, long nowNanos) {
        OperationId id = OperationId.parse(request.operationId()).getOrNull();
        if (id == null || !isHomeOf(id.issuer()) || removedMembers.containsKey(claimant)) {
            return answer(ClaimVerdict.NOT_HOME);
        }
        IssuerRecords records = recordsByIssuer.get(id.issuer());
        if (records == null || isUnusableAfterExpiry(records, id, nowNanos)) {
            return answer(ClaimVerdict.EXPIRED);
        }
        OperationRecord record = records.find(id);
        if (record == null) {
            records.put(new OperationRecord(
                    id, request.team(), request.fingerprint(), State.RUNNING, claimant, request.attempt()));
            return answer(ClaimVerdict.GRANTED);
        }
        if (!record.team.equals(request.team()) || record.fingerprint != request.fingerprint()) {
            return answer(ClaimVerdict.MISMATCH);
        }
        return claimExisting(record, claimant, request.attempt());
    }

    private boolean isUnusableAfterExpiry(IssuerRecords records, OperationId id, long nowNanos) {
        records.expire(nowNanos).forEach(this::dropAnswer);
        return !records.isUsable(id, nowNanos);
    }

    private static ClaimAnswer claimExisting(OperationRecord record, HostId claimant, long attempt) {
        switch (record.state) {
            case FREE:
                if (record.isHeldBy(claimant, attempt)) {
                    // A repeated claim that arrives after its own release; the claimant would no longer run it.
                    return answer(ClaimVerdict.RUNNING);
                }
                record.state = State.RUNNING;
                record.holder = claimant;
                record.attempt = attempt;
                return answer(ClaimVerdict.GRANTED);
            case RUNNING:
                return answer(record.isHeldBy(claimant, attempt) ? ClaimVerdict.GRANTED : ClaimVerdict.RUNNING);
            case DONE:
                return new ClaimAnswer(ClaimVerdict.DONE, record.answer);
            case UNKNOWN:
            default:
                return answer(ClaimVerdict.UNKNOWN);
        }
    }

    /**
     * Records the outcome of a claim. A report is ignored unless its host and attempt number hold the claim.
     *
     * <p>If the holder was removed from the roster in the meantime, the answer that it reports still replaces the
     * unknown outcome, because the holder has received this answer.
     */
    public void recordOutcome(ClaimOutcome report, HostId claimant, long nowNanos) {
        OperationId id = OperationId.parse(report.operationId()).getOrNull();
        IssuerRecords records = id == null || !isHomeOf(id.issuer()) ? null : recordsByIssuer.get(id.issuer());
        OperationRecord record = id == null || records == null ? null : records.find(id);
        if (record == null || !record.isHeldBy(claimant, report.attempt())) {
            return;
        }
        boolean running = record.state == State.RUNNING;
        if (report.result() == ClaimResult.ANSWERED && (running || record.state == State.UNKNOWN)) {
            record.state = State.DONE;
            storeAnswer(record, report.recorded());
        } else if (running) {
            record.state = report.result() == ClaimResult.NOT_RUN ? State.FREE : State.UNKNOWN;
        }
    }

    /** Sets the outcome of all claims held by a removed member to unknown; later claims of this member are refused. */
    public void memberRemoved(HostId member, long nowNanos) {
        removedMembers.put(member, nowNanos);
        incomingHandovers.remove(member);
        for (IssuerRecords records : recordsByIssuer.values()) {
            for (OperationRecord record : records.all()) {
                if (record.state == State.RUNNING && record.holder.equals(member)) {
                    record.state = State.UNKNOWN;
                }
            }
        }
    }

    /** Removes expired records and entries that are no longer needed; to be called about once per second. */
    public void tick(long nowNanos) {
        long lifetimeNanos = settings.lifetime().toNanos();
        recordsByIssuer.values().forEach(records -> records.expire(nowNanos).forEach(this::dropAnswer));
        recordsByIssuer
                .entrySet()
                .removeIf(entry -> !entry.getKey().equals(self)
                        && entry.getValue().size() == 0
                        && entry.getValue().haveAllIdsExpired(nowNanos));
        removedMembers.values().removeIf(removedAt -> nowNanos - removedAt > lifetimeNanos);
    }

    /** Returns the number of operation records. */
    public int recordCount() {
        return recordsByIssuer.values().stream().mapToInt(IssuerRecords::size).sum();
    }

    /** Returns the total size of the recorded answers, in bytes. */
    public long answerBytes() {
        return answerBytes;
    }

    /**
     * Stops granting claims and exports all records to one successor, in parts that each fit into a frame.
     *
     * <p>A repeated call for the same successor returns the same parts. The records are never exported to a second
     * successor, because the first one may have received them although its acknowledgement was lost.
     *
     * @throws IllegalStateException if the records were already exported to another successor
     */
    public List<byte[]> export(HostId target, long nowNanos) {
        HostId earlier = successor;
        if (earlier == null) {
            exportedParts = HandoverCodec.encode(self, target, recordsByIssuer, nowNanos);
            successor = target;
        } else if (!earlier.equals(target)) {
            throw new IllegalStateException(
                    "successor: " + target + ", expected " + earlier + ", to which the records were already exported");
        }
        return exportedParts;
    }

    /**
     * Imports one part of the records of a stopping host. Repeated parts have no effect. This host grants claims on
     * the imported operations once all parts have arrived.
     *
     * @return false if the part is malformed, is addressed to another host or arrives after this host's own export
     */
    public boolean importPart(byte[] part, long nowNanos) {
        HandoverCodec.Part decoded = HandoverCodec.decode(part);
        if (decoded == null || !decoded.successor().equals(self) || successor != null) {
            return false;
        }
        if (recordsByIssuer.containsKey(decoded.exporter())) {
            return true;
        }
        HandoverAssembly assembly = incomingHandovers.computeIfAbsent(
                decoded.exporter(), exporter -> new HandoverAssembly(nowNanos, decoded.partCount(), settings));
        if (!assembly.add(decoded)) {
            return true;
        }
        incomingHandovers.remove(decoded.exporter());
        assembly.recordsByIssuer().forEach((issuer, records) -> {
            if (recordsByIssuer.putIfAbsent(issuer, records) == null) {
                records.all().forEach(this::addImported);
            }
        });
        tick(nowNanos);
        return true;
    }

    private void addImported(OperationRecord record) {
        if (record.state == State.RUNNING && removedMembers.containsKey(record.holder)) {
            record.state = State.UNKNOWN;
        }
        storeAnswer(record, record.answer);
    }

    private IssuerRecords ownRecords() {
        IssuerRecords records = recordsByIssuer.get(self);
        if (records == null) {
            throw new IllegalStateException("recordsByIssuer: no entry for this host, " + self);
        }
        return records;
    }

    private void storeAnswer(OperationRecord record, @Nullable RecordedResponse answer) {
        if (answer == null) {
            return;
        }
        record.answer = answer;
        answeredRecords.addLast(record);
        answerBytes += record.answerBytes();
        while (answerBytes > settings.maxAnswerBytes() && !answeredRecords.isEmpty()) {
            reduceToStatus(answeredRecords.removeFirst());
        }
    }

    private void reduceToStatus(OperationRecord record) {
        RecordedResponse full = record.answer;
        if (full != null) {
            answerBytes -= record.answerBytes();
            record.answer = new RecordedResponse(full.status(), List.of(), new byte[0], false);
        }
    }

    private void dropAnswer(OperationRecord record) {
        answerBytes -= record.answerBytes();
        record.answer = null;
        // The queue is in order of arrival, so the oldest records, which are removed first, are near its front.
        while (!answeredRecords.isEmpty() && answeredRecords.peekFirst().answer == null) {
            answeredRecords.removeFirst();
        }
    }

    private static ClaimAnswer answer(ClaimVerdict verdict) {
        return new ClaimAnswer(verdict, null);
    }
}
