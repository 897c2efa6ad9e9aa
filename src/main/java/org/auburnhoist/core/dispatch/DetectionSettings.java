package org.auburnhoist.core.dispatch;

import java.time.Duration;
import org.auburnhoist.core.configuration.DetectionProfile;

/**
 * How readily a failing server is ejected, and how it comes back.
 *
 * <p>Failures and slow answers are judged by cumulative sums of log-likelihood ratios: each outcome adds the logarithm
 * of how much likelier it is from an ill server than from a healthy one, and the sum never goes below 0.
 *
 * @param evidenceAge how long an outcome counts
 * @param failureThreshold sum at which failures eject a server
 * @param slowThreshold sum at which slow answers eject a server
 * @param firstBackOff time of the first ejection; doubles on each relapse
 * @param longestBackOff limit of the doubling
 * @param probationSuccesses successes that end the probation
 * @param probationFailures failures that end the probation with a relapse
 * @param warmUp time over which a new server gets a rising number of its slots
 */
public record DetectionSettings(
        Duration evidenceAge,
        double failureThreshold,
        double slowThreshold,
        Duration firstBackOff,
        Duration longestBackOff,
        int probationSuccesses,
        int probationFailures,
        Duration warmUp) {
    /** Prefers few false ejections. */
    public static final DetectionSettings CAUTIOUS = new DetectionSettings(
            Duration.ofSeconds(20),
            10,
            16,
            Duration.ofSeconds(10),
            Duration.ofMinutes(5),
            25,
            2,
            Duration.ofSeconds(20));

    /** Prefers short detection time. */
    public static final DetectionSettings QUICK = new DetectionSettings(
            Duration.ofSeconds(10), 7, 11, Duration.ofSeconds(5), Duration.ofMinutes(2), 15, 2, Duration.ofSeconds(10));

    /** The settings of a profile. */
    public static DetectionSettings of(DetectionProfile profile) {
        return profile == DetectionProfile.QUICK ? QUICK : CAUTIOUS;
    }

    Duration backOff(int relapses) {
        Duration backOff = firstBackOff.multipliedBy(1L << Math.min(relapses, 20));
        return backOff.compareTo(longestBackOff) > 0 ? longestBackOff : backOff;
    }
}
