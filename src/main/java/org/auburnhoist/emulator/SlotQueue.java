package org.auburnhoist.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Slots and queue of one emulated server. Not thread-safe. */
final class SlotQueue<W> {
    private final int slots;
    private final int queueLimit;
    private final Set<W> running = new HashSet<>();
    private final Deque<Waiting<W>> waiting = new ArrayDeque<>();

    SlotQueue(int slots, int queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /** Places work in a slot or the queue, or sheds it. */
    Placement offer(W work, long deadlineNanos) {
        if (running.size() < slots) {
            running.add(work);
            return Placement.STARTED;
        }
        if (waiting.size() < queueLimit) {
            waiting.addLast(new Waiting<>(work, deadlineNanos));
            return Placement.QUEUED;
        }
        return Placement.SHED;
    }

    /** Frees a slot, or the place in the queue; has no effect on work that holds neither. */
    void remove(W work) {
        if (!running.remove(work)) {
            waiting.removeIf(entry -> entry.work().equals(work));
        }
    }

    /** Takes the next queued work that fits a free slot; {@code expired} tells whether its deadline has passed. */
    @Nullable
    Next<W> next(long nowNanos) {
        if (running.size() >= slots || waiting.isEmpty()) {
            return null;
        }
        Waiting<W> first = waiting.removeFirst();
        boolean expired = first.deadlineNanos() - nowNanos <= 0;
        if (!expired) {
            running.add(first.work());
        }
        return new Next<>(first.work(), expired);
    }

    void clear() {
        running.clear();
        waiting.clear();
    }

    int running() {
        return running.size();
    }

    int queued() {
        return waiting.size();
    }

    /** Where offered work went. */
    enum Placement {
        STARTED,
        QUEUED,
        SHED
    }

    record Next<W>(W work, boolean expired) {}

    private record Waiting<W>(W work, long deadlineNanos) {}
}
