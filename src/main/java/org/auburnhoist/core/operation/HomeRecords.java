package org.auburnhoist.core.operation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The records of one home, with the rule that a record is dropped only after its id has become unusable.
 *
 * <p>Both are decided by {@code oldestSeconds}, which only grows, so neither a clock that steps back nor an eviction
 * can make a dropped id usable again.
 */
final class HomeRecords {
    private final long startNanos;
    private final OperationSettings settings;
    private final Map<OperationId, OperationRecord> records = new HashMap<>();
    private final TreeMap<Long, List<OperationRecord>> byIssue = new TreeMap<>();
    private final long createdNanos;
    private long oldestSeconds;

    /**
     * Creates an empty set.
     *
     * @param startNanos the home's start on the local clock
     * @param createdNanos the time since which this host keeps the records
     * @param oldestSeconds earliest usable time of issue
     */
    HomeRecords(long startNanos, long createdNanos, long oldestSeconds, OperationSettings settings) {
        this.startNanos = startNanos;
        this.createdNanos = createdNanos;
        this.oldestSeconds = oldestSeconds;
        this.settings = settings;
    }

    long elapsedNanos(long nowNanos) {
        return Math.max(0, nowNanos - startNanos);
    }

    long elapsedSeconds(long nowNanos) {
        return elapsedNanos(nowNanos) / 1_000_000_000L;
    }

    long oldestSeconds() {
        return oldestSeconds;
    }

    /** Whether the id may be used; an id from the future was never issued. */
    boolean isUsable(OperationId id, long nowNanos) {
        return id.issuedSeconds() >= oldestSeconds && id.issuedSeconds() <= elapsedSeconds(nowNanos);
    }

    @Nullable
    OperationRecord find(OperationId id) {
        return records.get(id);
    }

    Iterable<OperationRecord> all() {
        return records.values();
    }

    /** Whether every id that the home can have issued before its handover is past its lifetime. */
    boolean isPastLifetime(long nowNanos) {
        return nowNanos - createdNanos > settings.lifetime().toNanos() + 1_000_000_000L;
    }

    int size() {
        return records.size();
    }

    void add(OperationRecord record) {
        records.put(record.id, record);
        byIssue.computeIfAbsent(record.id.issuedSeconds(), seconds -> new ArrayList<>())
                .add(record);
    }

    /** Drops records of expired ids, and the oldest ones beyond the limit; returns the dropped records. */
    List<OperationRecord> expire(long nowNanos) {
        List<OperationRecord> dropped = new ArrayList<>();
        oldestSeconds = Math.max(
                oldestSeconds, elapsedSeconds(nowNanos) - settings.lifetime().toSeconds());
        while (!byIssue.isEmpty() && (byIssue.firstKey() < oldestSeconds || records.size() > settings.maxRecords())) {
            Map.Entry<Long, List<OperationRecord>> oldest = byIssue.pollFirstEntry();
            oldestSeconds = Math.max(oldestSeconds, oldest.getKey() + 1);
            oldest.getValue().forEach(record -> records.remove(record.id));
            dropped.addAll(oldest.getValue());
        }
        return dropped;
    }
}
