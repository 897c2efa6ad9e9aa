package org.auburnhoist.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.auburnhoist.core.message.AttemptOutcome;

/**
 * Tracks the attempts of one request: which servers received it, and whether another attempt is allowed.
 *
 * <p>A route limits the number of servers that may receive a request. A server that rejects a request has not run it,
 * so a request that has reached this limit may be sent again to a server that rejected it. Not thread-safe.
 */
public final class RetryState {
    /**
     * Attempts of which nothing was sent do not count toward the server limit; this limits them. No further attempt is
     * made after more than this number.
     */
    private static final int MAX_UNSENT = 3;
    /**
     * Maximum number of times that a request is sent again to servers that rejected it. Each one adds load to a service
     * without free capacity; the service's retry budget limits their total.
     */
    private static final int MAX_RETURNS = 4;

    private final int maxServers;
    private final boolean idempotent;
    private final List<String> failedServers = new ArrayList<>();
    private final Set<String> reachedServers = new LinkedHashSet<>();
    private final Set<String> rejectedBy = new LinkedHashSet<>();
    private int arrivals;
    private int unsent;
    private int returns;
    private boolean mayHaveRun;
    private boolean lastRejected;

    /**
     * Creates the state of a request that has not been attempted.
     *
     * @param maxServers maximum number of servers that may receive the request
     * @param idempotent whether the request may run more than once
     */
    public RetryState(int maxServers, boolean idempotent) {
        this.maxServers = maxServers;
        this.idempotent = idempotent;
    }

    /** Records the end of an attempt; {@code sent} is whether the server may have received any part of the request. */
    public void attemptEnded(String server, AttemptOutcome outcome, boolean sent) {
        boolean rejected = outcome == AttemptOutcome.REJECTED;
        boolean isReturn = !allowedServers().isEmpty();
        lastRejected = sent && rejected;
        failedServers.add(server);
        if (!sent) {
            unsent++;
            return;
        }
        arrivals++;
        returns += isReturn ? 1 : 0;
        reachedServers.add(server);
        if (rejected) {
            rejectedBy.add(server);
        } else {
            rejectedBy.remove(server);
        }
        mayHaveRun |= !rejected && outcome != AttemptOutcome.MISDIRECTED;
    }

    /** Whether the earlier attempts allow another attempt. */
    public boolean mayRetry() {
        boolean canRepeat = idempotent || !mayHaveRun;
        boolean serverAvailable = reachedServers.size() < maxServers || (lastRejected && returns < MAX_RETURNS);
        return canRepeat && unsent <= MAX_UNSENT && serverAvailable;
    }

    /** Number of the next attempt; attempts of which nothing was sent do not count. */
    public int nextAttemptNumber() {
        return arrivals + 1;
    }

    /** Servers that must not receive the next attempt. */
    public List<String> excludedServers() {
        return allowedServers().isEmpty() ? List.copyOf(failedServers) : List.of();
    }

    /** The only servers that may receive the next attempt; empty if any server may. */
    public List<String> allowedServers() {
        return reachedServers.size() < maxServers ? List.of() : List.copyOf(rejectedBy);
    }
}
