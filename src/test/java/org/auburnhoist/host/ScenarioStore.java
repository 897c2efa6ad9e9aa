package org.auburnhoist.host;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.StoreKeys;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.store.WriteResult;

/** One client's connection to the store, with injected faults that affect this client only. */
final class ScenarioStore implements Store {
    private final Store store;
    private final Map<String, ReadResult> lastResults = new ConcurrentHashMap<>();
    private volatile boolean disconnected;
    private volatile boolean servingStaleReads;
    private volatile boolean loseHeadAnswer;
    private volatile int staleReads;

    ScenarioStore(Store store) {
        this.store = store;
    }

    /** From now on, fails reads and compare-and-swap writes without a lease, so that they do not reach the store. */
    void disconnect() {
        disconnected = true;
    }

    /** From now on, answers reads with their last earlier result, like a cache that serves stale values. */
    void serveStaleReads() {
        servingStaleReads = true;
    }

    /** Number of reads that were answered with a stale value. */
    int staleReads() {
        return staleReads;
    }

    /** Loses the answer to the next write of the configuration head; the write itself takes effect. */
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
        if (disconnected) {
            return CompletableFuture.completedFuture(new ReadResult.Unavailable("disconnected"));
        }
        ReadResult stale = lastResults.get(key);
        if (servingStaleReads && stale != null) {
            staleReads++;
            return CompletableFuture.completedFuture(stale);
        }
        return call.get().thenApply(result -> {
            if (!servingStaleReads && result instanceof ReadResult.Found) {
                lastResults.put(key, result);
            }
            return result;
        });
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(String key, StorePosition expected, byte[] value) {
        if (disconnected) {
            return CompletableFuture.completedFuture(new WriteResult.NotDone("disconnected"));
        }
        boolean lost = loseHeadAnswer && key.equals(StoreKeys.CONFIGURATION);
        return store.compareAndSwap(key, expected, value).thenApply(result -> {
            loseHeadAnswer &= !lost;
            return lost ? new WriteResult.OutcomeUnknown("the answer is lost") : result;
        });
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, StorePosition expected, byte[] value, long leaseId) {
        return store.compareAndSwap(key, expected, value, leaseId);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndDelete(String key, StorePosition expected) {
        return store.compareAndDelete(key, expected);
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

    /** Does nothing, because the fleet closes the underlying store. */
    @Override
    public void close() {}
}
