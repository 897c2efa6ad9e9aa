package org.auburnhoist.core.membership;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** When versions of a document were known to be settled. */
final class SettledVersions {
    private final long keptNanos;
    private final TreeMap<Long, Long> times = new TreeMap<>();

    /**
     * Starts without a settled version.
     *
     * @param keptNanos time after which the exact time of settling no longer matters
     */
    SettledVersions(long keptNanos) {
        this.keptNanos = keptNanos;
    }

    long newest() {
        return times.isEmpty() ? 0 : times.lastKey();
    }

    void record(long version, long nowNanos) {
        if (version > newest()) {
            times.put(version, nowNanos);
            forgetOld(nowNanos);
        }
    }

    OptionalLong settledAt(long version) {
        Map.@Nullable Entry<Long, Long> entry = times.ceilingEntry(version);
        return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.getValue());
    }

    /** Of the entries whose waiting time has passed, keeps the newest, which stands for the older ones. */
    private void forgetOld(long nowNanos) {
        while (times.size() > 1 && nowNanos - secondTime() > keptNanos) {
            times.pollFirstEntry();
        }
    }

    private long secondTime() {
        return times.higherEntry(times.firstKey()).getValue();
    }
}
