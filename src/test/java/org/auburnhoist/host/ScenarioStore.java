package org.auburnhoist.host;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.StoreKeys;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.store.WriteResult;

/** One client's connection to the store, with faults that only this client sees. */
final class ScenarioStore implements Store {
    private final Store store;
    private final Map<String, ReadResult> remembered = new ConcurrentHashMap<>();
    private volatile boolean cut;
    private volatile boolean replaying;
    private volatile boolean loseHeadAnswer;
    private volatile int replays;

    ScenarioStore(Store store) {
        this.store = store;
    }

    /** Ends all calls without reaching the store. */
    void cut() {
        cut = true;
    }

    /** Answers reads from now on as they were last answered before, like a cache that serves an older value. */
    void answerWithOlderValues() {
        replaying = true;
    }

    /** Reads that were answered with an older value. */
    int replays() {
        return replays;
    }

    /** Lets the next write of the configuration's head take effect without telling the writer. */
    void loseNextHeadAnswer() {
        loseHeadAnswer = true;
    }

    boolean headAnswerWasLost() {
        return !loseHeadAnswer;
    }

    @Override
    public CompletableFuture<ReadResult> get(String key) {
        return read(key, () -> store.get(key));
    }

    @Override
    public CompletableFuture<ReadResult> range(String prefix) {
        return read(prefix, () -> store.range(prefix));
    }

    private CompletableFuture<ReadResult> read(String key, Supplier<CompletableFuture<ReadResult>> call) {
        if (cut) {
            return CompletableFuture.completedFuture(new ReadResult.Unavailable("cut"));
        }
        ReadResult older = remembered.get(key);
        if (replaying && older != null) {
            replays++;
            return CompletableFuture.completedFuture(older);
        }
        return call.get().thenApply(result -> {
            if (!replaying && result instanceof ReadResult.Found) {
                remembered.put(key, result);
            }
            return result;
        });
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(String key, long expectedRevision, byte[] value) {
        if (cut) {
            return CompletableFuture.completedFuture(new WriteResult.NotDone("cut"));
        }
        boolean lost = loseHeadAnswer && key.equals(StoreKeys.CONFIGURATION);
        return store.compareAndSwap(key, expectedRevision, value).thenApply(result -> {
            loseHeadAnswer &= !lost;
            return lost ? new WriteResult.OutcomeUnknown("the answer is lost") : result;
        });
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId) {
        return store.compareAndSwap(key, expectedRevision, value, leaseId);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndDelete(String key, long expectedRevision) {
        return store.compareAndDelete(key, expectedRevision);
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
        return store.grantLease(timeToLive);
    }

    @Override
    public CompletableFuture<LeaseResult> keepAlive(long leaseId) {
        return store.keepAlive(leaseId);
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        return store.watch(prefix, listener);
    }

    /** The fleet closes the store behind it. */
    @Override
    public void close() {}
}
