package org.auburnhoist.emulator;

import java.time.Duration;

/**
 * Mode of a gray failure: how an emulated upstream server fails requests while its health endpoint still reports that
 * it is healthy. Shares are between 0 and 1.
 */
public sealed interface GrayMode {
    /** Requests are served normally. */
    record Healthy() implements GrayMode {}

    /** A share of the requests is executed, and answered with status 500. */
    record FailShare(double share) implements GrayMode {}

    /** A share of the requests takes a fixed time longer, during which it occupies its slot. */
    record SlowTail(double share, Duration extra) implements GrayMode {}

    /** A share of the responses is delayed by a fixed time, after the slot has been released. */
    record LateAnswer(double share, Duration delay) implements GrayMode {}

    /** A share of the responses is cut off in the middle of the body by closing the connection. */
    record TruncateBody(double share) implements GrayMode {}

    /** A share of the requests is read and never answered; it occupies its slot until the caller disconnects. */
    record NeverAnswer(double share) implements GrayMode {}

    /** Another mode, active during the first half of each period and inactive during the second. */
    record Flapping(Duration period, GrayMode inner) implements GrayMode {}
}
