package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Limits of a dispatcher.
 *
 * @param queueLimitPerClass most waiting requests of one class
 * @param grantMargin how long after its deadline an unreleased grant of a lookup or booking is taken back
 * @param downloadGrantMargin the same for downloads, whose deadline covers only the first byte
 * @param initialHoldTime assumed time that a request holds a slot, before any has been measured
 */
public record DispatchSettings(
        int queueLimitPerClass, Duration grantMargin, Duration downloadGrantMargin, Duration initialHoldTime) {
    /** 1,000 waiting requests per class, margins of 5 s and 120 s, 20 ms of assumed hold time. */
    public static final DispatchSettings DEFAULT =
            new DispatchSettings(1000, Duration.ofSeconds(5), Duration.ofSeconds(120), Duration.ofMillis(20));

    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if the queue limit is not positive
     */
    public DispatchSettings {
        if (queueLimitPerClass <= 0) {
            throw new IllegalArgumentException(
                    "queueLimitPerClass: " + queueLimitPerClass + ", expected a positive number");
        }
    }
}
