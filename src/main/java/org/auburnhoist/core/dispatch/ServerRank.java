package org.auburnhoist.core.dispatch;

/** How well a server suits the next request, best first. */
enum ServerRank {
    /** Must get a request now: it is new and untried, or the floor of servers in use needs it. */
    DUE,
    /** Failed some time ago; the floor of servers in use needs it, since too few others are there. */
    DUE_ON_TRIAL,
    /** Took up a request well a moment ago. */
    PROVEN,
    /** Nothing speaks against it, but it has shown nothing for a while. */
    UNPROVEN,
    /** Has just started and is slow. */
    COLD,
    /** Failed some time ago and has not been tried since. */
    ON_TRIAL,
    /** Answers come late. */
    SLOW,
    /** The asking host could not reach it. */
    DOUBTFUL_PATH,
    /** Failed a short time ago. */
    AVOIDED;

    /** Whether a request to such a server shows whether it is well again. */
    boolean isTrial() {
        return this == DUE_ON_TRIAL || this == ON_TRIAL;
    }

    /** Whether a request loses little by waiting a moment for a better server. */
    boolean isWorthWaitingAt() {
        return compareTo(UNPROVEN) >= 0;
    }
}
