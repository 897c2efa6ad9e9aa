package org.auburnhoist.core.limit;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Tokens that this host has prefetched from one bucket.
 *
 * <p>Any thread may take a token by one atomic subtraction; only the control thread adds tokens or removes them all.
 * The count and the expiry time are packed into one word, so a token cannot be used after its expiry time.
 */
public final class Reserve {
    private static final int COUNT_BITS = 16;
    private static final long COUNT_MASK = (1L << COUNT_BITS) - 1;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long startNanos;
    private final AtomicLong packedState = new AtomicLong();

    /** Creates an empty reserve. */
    public Reserve(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Takes one token if there is one that has not expired. */
    public boolean tryAcquire(long nowNanos) {
        while (true) {
            long current = packedState.get();
            if ((current & COUNT_MASK) == 0 || millisSinceStart(nowNanos) >= current >>> COUNT_BITS) {
                return false;
            }
            if (packedState.compareAndSet(current, current - 1)) {
                return true;
            }
        }
    }

    /** Returns the number of tokens, expired or not. */
    public int count() {
        return (int) (packedState.get() & COUNT_MASK);
    }

    /** Returns whether there are tokens and they have expired. */
    boolean isExpired(long nowNanos) {
        long current = packedState.get();
        return (current & COUNT_MASK) > 0 && millisSinceStart(nowNanos) >= current >>> COUNT_BITS;
    }

    /** Adds tokens; all tokens then have the earlier of the two expiry times. */
    void add(int count, long expiryNanos) {
        long addedExpiry = Math.max(0, millisSinceStart(expiryNanos));
        while (true) {
            long current = packedState.get();
            long currentCount = current & COUNT_MASK;
            long expiry = currentCount == 0 ? addedExpiry : Math.min(addedExpiry, current >>> COUNT_BITS);
            long total = Math.min(COUNT_MASK, currentCount + count);
            if (packedState.compareAndSet(current, expiry << COUNT_BITS | total)) {
                return;
            }
        }
    }

    /** Removes all tokens and returns their number. */
    int takeAll() {
        return (int) (packedState.getAndSet(0) & COUNT_MASK);
    }

    private long millisSinceStart(long nanos) {
        return Math.floorDiv(nanos - startNanos, NANOS_PER_MILLI);
    }
}
