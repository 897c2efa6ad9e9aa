package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.auburnhoist.core.message.AttemptOutcome;

/**
 * The attempts of one request: how many servers have got it, and whether a further attempt may be made.
 *
 * <p>A route limits the number of servers that may get a request. A server that rejects a request has not run it, so a
 * request that has used up its servers may return to one that rejected it. Not thread-safe.
 */
public final class RetryState {
    /** Attempts of which nothing was sent do not count as attempts; this bounds them. */
    private static final int MOST_UNSENT = 3;
    /** Each return is one more arrival at a service that has no room; the service's budget bounds them all together. */
    private static final int MOST_RETURNS = 4;

    private final int mostServers;
    private final boolean idempotent;
    private final List<String> failedServers = new ArrayList<>();
    private final Set<String> reachedServers = new LinkedHashSet<>();
    private final Set<String> rejectedBy = new LinkedHashSet<>();
    private int arrivals;
    private int unsent;
    private int returns;
    private boolean maybeRun;
    private boolean lastRejected;

    /**
     * A plan without attempts.
     *
     * @param mostServers number of servers that may get the request
     * @param idempotent whether the request may run more than once
     */
    public RetryState(int mostServers, boolean idempotent) {
        this.mostServers = mostServers;
        this.idempotent = idempotent;
    }

    /** An attempt has ended; {@code sent} tells whether the server may have got any of it. */
    public void attemptEnded(String server, AttemptOutcome outcome, boolean sent) {
        boolean rejected = outcome == AttemptOutcome.REJECTED;
        boolean returned = !allowedServers().isEmpty();
        lastRejected = sent && rejected;
        failedServers.add(server);
        if (!sent) {
            unsent++;
            return;
        }
        arrivals++;
        returns += returned ? 1 : 0;
        reachedServers.add(server);
        if (rejected) {
            rejectedBy.add(server);
        } else {
            rejectedBy.remove(server);
        }
        maybeRun |= !rejected && outcome != AttemptOutcome.MISDIRECTED;
    }

    /** Whether the request may be attempted once more, as far as its earlier attempts tell. */
    public boolean mayRetry() {
        boolean repeatable = idempotent || !maybeRun;
        boolean room = reachedServers.size() < mostServers || (lastRejected && returns < MOST_RETURNS);
        return repeatable && unsent <= MOST_UNSENT && room;
    }

    /** Number of the next attempt; attempts that no server got do not count. */
    public int nextAttemptNumber() {
        return arrivals + 1;
    }

    /** Servers that must not get the next attempt. */
    public List<String> excludedServers() {
        return allowedServers().isEmpty() ? List.copyOf(failedServers) : List.of();
    }

    /** The only servers that may get the next attempt, empty if there is no such limit. */
    public List<String> allowedServers() {
        return reachedServers.size() < mostServers ? List.of() : List.copyOf(rejectedBy);
    }
}
