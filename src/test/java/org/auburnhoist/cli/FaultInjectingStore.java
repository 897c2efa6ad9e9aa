package org.auburnhoist.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.StoreKeys;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.store.WriteResult;

/** An in-memory store that can be unavailable, lose answers, and run another write between a read and a write. */
public final class FaultInjectingStore implements Store {
    /** What happens to a write of the head. */
    public enum HeadWriteOutcome {
        NORMAL,
        /** The write takes effect; its answer is lost. */
        ANSWER_LOST,
        /** The request and its answer are lost. */
        REQUEST_LOST,
        /** The write takes effect, its answer is lost, and the store is unavailable afterwards. */
        ANSWER_LOST_THEN_UNAVAILABLE
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<HeadWriteOutcome> headWrites = new ArrayList<>();
    private long revision;
    private boolean unavailable;
    private Runnable beforeHeadWrite = () -> {};
    private Runnable afterHeadWrite = () -> {};

    /** Sets whether reads and writes fail because the store is unavailable. */
    public void setUnavailable(boolean unavailable) {
        this.unavailable = unavailable;
    }

    /** Plans what happens to the next writes of the head, in order. */
    public void planHeadWrites(HeadWriteOutcome... plan) {
        headWrites.addAll(List.of(plan));
    }

    /** Runs an action once, just before the next write of the head. */
    public void beforeNextHeadWrite(Runnable action) {
        beforeHeadWrite = action;
    }

    /** Runs an action once, just after the next write of the head and before its answer. */
    public void afterNextHeadWrite(Runnable action) {
        afterHeadWrite = action;
    }

    /** A copy of all keys with their revisions. */
    public TreeMap<String, Entry> entries() {
        return new TreeMap<>(entries);
    }

    @Override
    public CompletableFuture<ReadResult> get(String key) {
        if (unavailable) {
            return CompletableFuture.completedFuture(new ReadResult.Unavailable("away"));
        }
        Entry entry = entries.get(key);
        return CompletableFuture.completedFuture(
                new ReadResult.Found(entry == null ? List.of() : List.of(entry), StorePosition.ofRevision(revision)));
    }

    @Override
    public CompletableFuture<ReadResult> range(String prefix) {
        List<Entry> found = entries.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList();
        return CompletableFuture.completedFuture(
                unavailable
                        ? new ReadResult.Unavailable("away")
                        : new ReadResult.Found(found, StorePosition.ofRevision(revision)));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(String key, StorePosition expected, byte[] value) {
        if (!key.equals(StoreKeys.CONFIGURATION)) {
            return CompletableFuture.completedFuture(write(key, expected, value, HeadWriteOutcome.NORMAL));
        }
        HeadWriteOutcome plan = headWrites.isEmpty() ? HeadWriteOutcome.NORMAL : headWrites.remove(0);
        Runnable before = beforeHeadWrite;
        beforeHeadWrite = () -> {};
        before.run();
        Runnable after = afterHeadWrite;
        afterHeadWrite = () -> {};
        WriteResult result = write(key, expected, value, plan);
        after.run();
        return CompletableFuture.completedFuture(result);
    }

    private WriteResult write(String key, StorePosition expected, byte[] value, HeadWriteOutcome plan) {
        if (unavailable) {
            return new WriteResult.NotDone("away");
        }
        if (plan == HeadWriteOutcome.REQUEST_LOST) {
            return new WriteResult.OutcomeUnknown("request lost");
        }
        Entry entry = entries.get(key);
        StorePosition current = entry == null ? StorePosition.NONE : entry.position();
        WriteResult result = new WriteResult.Conflict(current);
        if (current.equals(expected)) {
            revision++;
            entries.put(key, new Entry(key, value.clone(), StorePosition.ofRevision(revision)));
            result = new WriteResult.Done(StorePosition.ofRevision(revision));
        }
        if (plan == HeadWriteOutcome.NORMAL) {
            return result;
        }
        unavailable = plan == HeadWriteOutcome.ANSWER_LOST_THEN_UNAVAILABLE;
        return new WriteResult.OutcomeUnknown("answer lost");
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, StorePosition expected, byte[] value, long leaseId) {
        throw new UnsupportedOperationException("leases");
    }

    @Override
    public CompletableFuture<WriteResult> compareAndDelete(String key, StorePosition expected) {
        if (unavailable) {
            return CompletableFuture.completedFuture(new WriteResult.NotDone("away"));
        }
        Entry entry = entries.get(key);
        StorePosition current = entry == null ? StorePosition.NONE : entry.position();
        if (entry == null || !current.equals(expected)) {
            return CompletableFuture.completedFuture(new WriteResult.Conflict(current));
        }
        revision++;
        entries.remove(key);
        return CompletableFuture.completedFuture(new WriteResult.Done(StorePosition.ofRevision(revision)));
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
        throw new UnsupportedOperationException("leases");
    }

    @Override
    public CompletableFuture<LeaseResult> keepAlive(long leaseId) {
        throw new UnsupportedOperationException("leases");
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        throw new UnsupportedOperationException("watches");
    }

    @Override
    public void close() {}
}
