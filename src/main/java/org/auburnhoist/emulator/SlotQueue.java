package org.auburnhoist.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Concurrency slots of one emulated server and the bounded queue of work that waits for one. Not thread-safe. */
final class SlotQueue<W> {
    private final int slots;
    private final int queueLimit;
    private final Set<W> running = new HashSet<>();
    private final Deque<QueueEntry<W>> queue = new ArrayDeque<>();

    SlotQueue(int slots, int queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /** Assigns work to a free slot, queues it if all slots are occupied, or sheds it if the queue is full. */
    Placement offer(W work, long deadlineNanos) {
        if (running.size() < slots) {
            running.add(work);
            return Placement.STARTED;
        }
        if (queue.size() < queueLimit) {
            queue.addLast(new QueueEntry<>(work, deadlineNanos));
            return Placement.QUEUED;
        }
        return Placement.SHED;
    }

    /** Releases the slot of the work or removes it from the queue; has no effect on other work. */
    void remove(W work) {
        if (!running.remove(work)) {
            queue.removeIf(entry -> entry.work().equals(work));
        }
    }

    /** Dequeues the first work if a slot is free; {@code expired} work, whose deadline has passed, gets no slot. */
    @Nullable
    Dequeued<W> next(long nowNanos) {
        if (running.size() >= slots || queue.isEmpty()) {
            return null;
        }
        QueueEntry<W> first = queue.removeFirst();
        boolean expired = first.deadlineNanos() - nowNanos <= 0;
        if (!expired) {
            running.add(first.work());
        }
        return new Dequeued<>(first.work(), expired);
    }

    void clear() {
        running.clear();
        queue.clear();
    }

    int running() {
        return running.size();
    }

    int queued() {
        return queue.size();
    }

    /** What became of offered work. */
    enum Placement {
        STARTED,
        QUEUED,
        SHED
    }

    record Dequeued<W>(W work, boolean expired) {}

    private record QueueEntry<W>(W work, long deadlineNanos) {}
}
