package org.auburnhoist.core.operation;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.HostId;

/** Gathers the parts of one handover until all have come. */
final class HandoverAssembly {
    private final long firstPartNanos;
    private final int partCount;
    private final OperationSettings settings;
    private final BitSet seen = new BitSet();
    private final Map<HostId, HomeRecords> homes = new HashMap<>();

    HandoverAssembly(long firstPartNanos, int partCount, OperationSettings settings) {
        this.firstPartNanos = firstPartNanos;
        this.partCount = partCount;
        this.settings = settings;
    }

    /** Adds a part; returns whether the handover is complete. */
    boolean add(HandoverCodec.Part part) {
        if (!seen.get(part.index())) {
            seen.set(part.index());
            for (HandoverCodec.HomeClock clock : part.homes()) {
                homes.computeIfAbsent(
                        clock.home(),
                        home -> new HomeRecords(
                                firstPartNanos - clock.elapsedNanos(),
                                firstPartNanos,
                                clock.oldestSeconds(),
                                settings));
            }
            for (OperationRecord record : part.records()) {
                HomeRecords records = homes.get(record.id.issuer());
                if (records != null) {
                    records.add(record);
                }
            }
        }
        return seen.cardinality() == partCount;
    }

    Map<HostId, HomeRecords> homes() {
        return homes;
    }
}
