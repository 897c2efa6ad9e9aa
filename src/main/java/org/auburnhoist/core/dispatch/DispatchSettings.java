package org.auburnhoist.core.dispatch;

import java.time.Duration;

/**
 * Settings of a {@link ServiceDispatcher}.
 *
 * @param queueLimitPerClass maximum number of waiting requests of one class
 * @param grantMargin time after its deadline at which an unreleased grant of a lookup or booking expires
 * @param downloadGrantMargin the same for downloads, whose deadline covers only the first byte
 * @param initialHoldTime assumed time that a request holds a slot, used until one has been measured
 */
public record DispatchSettings(
        int queueLimitPerClass, Duration grantMargin, Duration downloadGrantMargin, Duration initialHoldTime) {
    /** 1,000 waiting requests per class, margins of 5 s and 120 s, and an assumed hold time of 20 ms. */
    public static final DispatchSettings DEFAULT =
            new DispatchSettings(1000, Duration.ofSeconds(5), Duration.ofSeconds(120), Duration.ofMillis(20));

    /**
     * Validates the queue limit.
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
