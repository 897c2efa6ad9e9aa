package org.auburnhoist.store;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts calls to the store by kind. Safe for use by several threads. */
public final class StoreCallCounts {
    private final Map<StoreCallKind, LongAdder> counts = new EnumMap<>(StoreCallKind.class);

    /** Starts with no calls. */
    public StoreCallCounts() {
        for (StoreCallKind kind : StoreCallKind.values()) {
            counts.put(kind, new LongAdder());
        }
    }

    /** Adds one call. */
    public void add(StoreCallKind kind) {
        adder(kind).increment();
    }

    /** Calls of a kind so far. */
    public long of(StoreCallKind kind) {
        return adder(kind).sum();
    }

    /** Calls of all kinds so far. */
    public long total() {
        return counts.values().stream().mapToLong(LongAdder::sum).sum();
    }

    private LongAdder adder(StoreCallKind kind) {
        LongAdder adder = counts.get(kind);
        if (adder == null) {
            throw new IllegalArgumentException("kind: expected a call kind, got " + kind);
        }
        return adder;
    }
}
