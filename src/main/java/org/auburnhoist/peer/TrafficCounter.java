package org.auburnhoist.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes that a host exchanges with other hosts. */
public final class TrafficCounter {
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();

    void addSentBytes(long bytes) {
        sentBytes.add(bytes);
    }

    void addReceivedBytes(long bytes) {
        receivedBytes.add(bytes);
    }

    /** Returns the bytes sent since the start, without TCP and IP headers. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the bytes received since the start, without TCP and IP headers. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }
}
