package org.auburnhoist.core.dispatch;

/** Suitability of a server for the next request, best first. */
enum ServerRank {
    /** Must receive a request now: it is new and has not received any, or the floor of servers in use requires it. */
    REQUIRED,
    /** Failed some time ago, but the floor of servers in use requires it because too few others are available. */
    REQUIRED_PROBE,
    /** Recently accepted a request without failing. */
    CONFIRMED,
    /** Has no known problem, but no recent request confirms its health. */
    UNCONFIRMED,
    /** Started recently and is still slow. */
    WARMING_UP,
    /** Failed some time ago and has not been probed since; the next request is a probe. */
    PROBE,
    /** Responds slowly, has a request in flight that is long overdue, or has asked for fewer requests. */
    SLOW,
    /** The requesting host recently could not reach it. */
    SUSPECT_PATH,
    /** Failed a short time ago, or has announced that it leaves. */
    AVOIDED;

    /** Whether a request to such a server probes whether it has recovered. */
    boolean isProbe() {
        return this == REQUIRED_PROBE || this == PROBE;
    }

    /** Whether a request may wait for a short time for a better server. */
    boolean allowsWaiting() {
        return compareTo(UNCONFIRMED) >= 0;
    }
}
