package org.auburnhoist.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.StorePosition;

/**
 * The platform's key-value store.
 *
 * <p>No future completes exceptionally; failures are values of the result types, so that <em>not done</em> and
 * <em>outcome unknown</em> cannot be confused. Values hold up to {@link #MAX_VALUE_BYTES}.
 */
public interface Store extends AutoCloseable {
    /** Largest value that the platform accepts. */
    int MAX_VALUE_BYTES = 1 << 20;

    /** Reads one key, linearizably. */
    CompletableFuture<ReadResult> get(String key);

    /** Reads all keys with a prefix at one position, linearizably. */
    CompletableFuture<ReadResult> range(String prefix);

    /**
     * Writes a key if it has not changed.
     *
     * @param key the key
     * @param expected position of the key's last modification, {@link StorePosition#NONE} if it must be absent
     * @param value the new value
     */
    CompletableFuture<WriteResult> compareAndSwap(String key, StorePosition expected, byte[] value);

    /**
     * Writes a key if it has not changed, and ties it to a lease.
     *
     * @param key the key
     * @param expected position of the key's last modification, {@link StorePosition#NONE} if it must be absent
     * @param value the new value
     * @param leaseId the key is deleted when this lease expires
     */
    CompletableFuture<WriteResult> compareAndSwap(String key, StorePosition expected, byte[] value, long leaseId);

    /** Deletes a key if its last modification is the expected one. */
    CompletableFuture<WriteResult> compareAndDelete(String key, StorePosition expected);

    /** Grants a lease that expires unless it is renewed within the time to live. */
    CompletableFuture<LeaseResult> grantLease(Duration timeToLive);

    /** Renews a lease. */
    CompletableFuture<LeaseResult> keepAlive(long leaseId);

    /**
     * Reports changes of keys with a prefix until the returned handle is closed. {@link WatchListener#resyncRequired()}
     * is called after a lost connection, since changes may have been missed.
     */
    AutoCloseable watch(String prefix, WatchListener listener);

    @Override
    void close();
}
