package org.auburnhoist.core.limit;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Tokens that this host got ahead of use from one bucket.
 *
 * <p>Any thread may spend a token by one atomic subtraction; only the control thread adds tokens or takes them back.
 * The count and the time limit share one word, so a token cannot be spent after the limit that belongs to it.
 */
public final class Reserve {
    private static final int COUNT_BITS = 16;
    private static final long COUNT_MASK = (1L << COUNT_BITS) - 1;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long startNanos;
    private final AtomicLong word = new AtomicLong();

    /** Starts empty. */
    public Reserve(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Spends one token if there is one that may still be spent. */
    public boolean tryAcquire(long nowNanos) {
        while (true) {
            long seen = word.get();
            if ((seen & COUNT_MASK) == 0 || millis(nowNanos) >= seen >>> COUNT_BITS) {
                return false;
            }
            if (word.compareAndSet(seen, seen - 1)) {
                return true;
            }
        }
    }

    /** Returns the number of tokens, spendable or not. */
    public int count() {
        return (int) (word.get() & COUNT_MASK);
    }

    /** Whether there are tokens whose time limit has passed. */
    boolean isExpired(long nowNanos) {
        long seen = word.get();
        return (seen & COUNT_MASK) > 0 && millis(nowNanos) >= seen >>> COUNT_BITS;
    }

    /** Adds tokens; all tokens together then have the earlier of the two limits. */
    void add(int count, long untilNanos) {
        long until = Math.max(0, millis(untilNanos));
        while (true) {
            long seen = word.get();
            long present = seen & COUNT_MASK;
            long limit = present == 0 ? until : Math.min(until, seen >>> COUNT_BITS);
            long total = Math.min(COUNT_MASK, present + count);
            if (word.compareAndSet(seen, limit << COUNT_BITS | total)) {
                return;
            }
        }
    }

    /** Removes all tokens and returns their number. */
    int takeAll() {
        return (int) (word.getAndSet(0) & COUNT_MASK);
    }

    private long millis(long nanos) {
        return Math.floorDiv(nanos - startNanos, NANOS_PER_MILLI);
    }
}
