package org.auburnhoist.emulator;

import java.time.Duration;

/**
 * A way in which an emulated upstream server fails real work while its health endpoint stays green. Shares are between
 * 0 and 1.
 */
public sealed interface GrayMode {
    /** Work is done well. */
    record Healthy() implements GrayMode {}

    /** A share of the work is answered with status 500 after it ran. */
    record FailShare(double share) implements GrayMode {}

    /** A share of the work takes longer by a fixed time, and holds its slot during it. */
    record SlowTail(double share, Duration extra) implements GrayMode {}

    /** A share of the answers comes later by a fixed time, after the slot was freed. */
    record LateAnswer(double share, Duration delay) implements GrayMode {}

    /** A share of the answers ends in the middle of the body, by a closed connection. */
    record TruncateBody(double share) implements GrayMode {}

    /** A share of the work is read and never answered; it holds its slot until the caller leaves. */
    record NeverAnswer(double share) implements GrayMode {}

    /** Another mode, switched on during the first half of each period and off during the second. */
    record Flapping(Duration period, GrayMode inner) implements GrayMode {}
}
