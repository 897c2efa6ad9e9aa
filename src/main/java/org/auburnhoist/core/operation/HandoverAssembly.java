package org.auburnhoist.core.operation;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.auburnhoist.core.HostId;

/** Reassembles a handover from its parts, which may arrive in any order and more than once. */
final class HandoverAssembly {
    private final long firstPartNanos;
    private final int partCount;
    private final OperationSettings settings;
    private final BitSet receivedParts = new BitSet();
    private final Map<HostId, IssuerRecords> recordsByIssuer = new HashMap<>();

    HandoverAssembly(long firstPartNanos, int partCount, OperationSettings settings) {
        this.firstPartNanos = firstPartNanos;
        this.partCount = partCount;
        this.settings = settings;
    }

    /** Adds a part unless it was received before; returns whether the handover is complete. */
    boolean add(HandoverCodec.Part part) {
        if (!receivedParts.get(part.index())) {
            receivedParts.set(part.index());
            for (HandoverCodec.IssuerClock clock : part.issuers()) {
                recordsByIssuer.computeIfAbsent(
                        clock.issuer(),
                        issuer -> new IssuerRecords(
                                firstPartNanos - clock.elapsedNanos(),
                                firstPartNanos,
                                clock.minIssuedSeconds(),
                                settings));
            }
            for (OperationRecord record : part.records()) {
                IssuerRecords records = recordsByIssuer.get(record.id.issuer());
                if (records != null) {
                    records.put(record);
                }
            }
        }
        return receivedParts.cardinality() == partCount;
    }

    Map<HostId, IssuerRecords> recordsByIssuer() {
        return recordsByIssuer;
    }
}
