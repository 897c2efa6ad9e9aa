package org.auburnhoist.core.membership;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Records when this host learned that versions of a document are settled, that is, acknowledged by a quorum. */
final class SettledVersions {
    private final long retentionNanos;
    private final TreeMap<Long, Long> times = new TreeMap<>();

    /**
     * Creates a record without any settled version.
     *
     * @param retentionNanos age after which the exact time of settling no longer matters
     */
    SettledVersions(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    long newest() {
        return times.isEmpty() ? 0 : times.lastKey();
    }

    void record(long version, long nowNanos) {
        if (version > newest()) {
            times.put(version, nowNanos);
            removeOld(nowNanos);
        }
    }

    OptionalLong settledAt(long version) {
        Map.@Nullable Entry<Long, Long> entry = times.ceilingEntry(version);
        return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.getValue());
    }

    /** Of the entries older than the retention time, keeps only the newest, which represents the older ones. */
    private void removeOld(long nowNanos) {
        while (times.size() > 1 && nowNanos - secondOldestTime() > retentionNanos) {
            times.pollFirstEntry();
        }
    }

    private long secondOldestTime() {
        return times.higherEntry(times.firstKey()).getValue();
    }
}
