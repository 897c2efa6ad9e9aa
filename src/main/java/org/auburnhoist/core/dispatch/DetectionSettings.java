package org.auburnhoist.core.dispatch;

import java.time.Duration;
import org.auburnhoist.core.configuration.DetectionProfile;

/**
 * Settings for the ejection and readmission of failing servers.
 *
 * <p>Failures and slow responses are detected by cumulative sums (CUSUM) of log-likelihood ratios: each outcome adds
 * the logarithm of its likelihood ratio between a faulty and a healthy server, and the sum never drops below 0.
 *
 * @param maxOutcomeAge age at which an outcome no longer counts
 * @param failureThreshold CUSUM value at which failures eject a server
 * @param slowThreshold CUSUM value at which slow responses eject a server
 * @param baseEjectionTime duration of the first ejection; doubled for each repeated ejection
 * @param maxEjectionTime maximum duration of an ejection
 * @param probationSuccesses number of successes that readmit a server on probation
 * @param probationFailures number of failures that eject a server on probation again
 * @param warmUp time over which the slot limit of a new server rises to its maximum
 */
public record DetectionSettings(
        Duration maxOutcomeAge,
        double failureThreshold,
        double slowThreshold,
        Duration baseEjectionTime,
        Duration maxEjectionTime,
        int probationSuccesses,
        int probationFailures,
        Duration warmUp) {
    /** Favors few false ejections over fast detection. */
    public static final DetectionSettings CAUTIOUS = new DetectionSettings(
            Duration.ofSeconds(20),
            10,
            16,
            Duration.ofSeconds(10),
            Duration.ofMinutes(5),
            25,
            2,
            Duration.ofSeconds(20));

    /** Favors fast detection over few false ejections. */
    public static final DetectionSettings QUICK = new DetectionSettings(
            Duration.ofSeconds(10), 7, 11, Duration.ofSeconds(5), Duration.ofMinutes(2), 15, 2, Duration.ofSeconds(10));

    /** The settings of a profile. */
    public static DetectionSettings of(DetectionProfile profile) {
        return profile == DetectionProfile.QUICK ? QUICK : CAUTIOUS;
    }

    Duration ejectionTime(int repeatEjections) {
        Duration duration = baseEjectionTime.multipliedBy(1L << Math.min(repeatEjections, 20));
        return duration.compareTo(maxEjectionTime) > 0 ? maxEjectionTime : duration;
    }
}
