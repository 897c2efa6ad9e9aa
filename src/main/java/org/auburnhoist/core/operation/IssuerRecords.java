package org.auburnhoist.core.operation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The records of the operations whose ids one host issued. A record is removed only after its id has become unusable.
 *
 * <p>Removal and usability both depend on {@code minIssuedSeconds}, which never decreases, so neither a clock that
 * steps back nor an eviction can make the id of a removed record usable again.
 */
final class IssuerRecords {
    private final long startNanos;
    private final OperationSettings settings;
    private final Map<OperationId, OperationRecord> records = new HashMap<>();
    private final TreeMap<Long, List<OperationRecord>> byIssuedSeconds = new TreeMap<>();
    private final long heldSinceNanos;
    private long minIssuedSeconds;

    /**
     * Creates an empty set of records.
     *
     * @param startNanos the issuer's start on the local clock
     * @param heldSinceNanos the time since which this host holds the records
     * @param minIssuedSeconds earliest usable time of issue, in seconds since the issuer's start
     */
    IssuerRecords(long startNanos, long heldSinceNanos, long minIssuedSeconds, OperationSettings settings) {
        this.startNanos = startNanos;
        this.heldSinceNanos = heldSinceNanos;
        this.minIssuedSeconds = minIssuedSeconds;
        this.settings = settings;
    }

    long elapsedNanos(long nowNanos) {
        return Math.max(0, nowNanos - startNanos);
    }

    long elapsedSeconds(long nowNanos) {
        return elapsedNanos(nowNanos) / 1_000_000_000L;
    }

    long minIssuedSeconds() {
        return minIssuedSeconds;
    }

    /** Returns whether the id may be used. An id with a time of issue in the future was never issued. */
    boolean isUsable(OperationId id, long nowNanos) {
        return id.issuedSeconds() >= minIssuedSeconds && id.issuedSeconds() <= elapsedSeconds(nowNanos);
    }

    @Nullable
    OperationRecord find(OperationId id) {
        return records.get(id);
    }

    Iterable<OperationRecord> all() {
        return records.values();
    }

    /** Returns whether every id that the issuer can have issued before its handover has passed its lifetime. */
    boolean haveAllIdsExpired(long nowNanos) {
        return nowNanos - heldSinceNanos > settings.lifetime().toNanos() + 1_000_000_000L;
    }

    int size() {
        return records.size();
    }

    void put(OperationRecord record) {
        records.put(record.id, record);
        byIssuedSeconds
                .computeIfAbsent(record.id.issuedSeconds(), seconds -> new ArrayList<>())
                .add(record);
    }

    /** Removes the records of expired ids, and the oldest records beyond the limit; returns the removed records. */
    List<OperationRecord> expire(long nowNanos) {
        List<OperationRecord> removed = new ArrayList<>();
        minIssuedSeconds = Math.max(
                minIssuedSeconds, elapsedSeconds(nowNanos) - settings.lifetime().toSeconds());
        while (!byIssuedSeconds.isEmpty()
                && (byIssuedSeconds.firstKey() < minIssuedSeconds || records.size() > settings.maxRecords())) {
            Map.Entry<Long, List<OperationRecord>> oldest = byIssuedSeconds.pollFirstEntry();
            minIssuedSeconds = Math.max(minIssuedSeconds, oldest.getKey() + 1);
            oldest.getValue().forEach(record -> records.remove(record.id));
            removed.addAll(oldest.getValue());
        }
        return removed;
    }
}
