package org.auburnhoist.load;

import java.util.Locale;

/**
 * A bound that a measure of an experiment must meet.
 *
 * @param measure the measure
 * @param bound the bound
 */
public record Expectation(Measure measure, double bound) {
    /** The measures of an experiment. */
    public enum Measure {
        /** Operations that ran more than once. */
        DUPLICATES,
        /** Requests that reached an upstream with the key of the caller. */
        LEAKED_KEYS,
        /** Answers framed as complete that were not. */
        INCOMPLETE_ANSWERS,
        /** Answers to other requests. */
        CROSSED_ANSWERS,
        /** Admissions beyond rate and burst of their teams. */
        OVER_RATE_ADMISSIONS,
        /** Attempts that were sent but got no complete answer. */
        CUT_REQUESTS,
        /** Highest percentage, over all teams, of the attempts within the rate that were refused. */
        REFUSALS_WITHIN_RATE_PERCENT,
        /** Percentage of requests that failed at an upstream or got no complete answer of their own. */
        FAILED_ANSWERS_PERCENT,
        /** Maximum time in seconds from a gray failure to the ejection of its server. */
        DETECTION_SECONDS,
        /** Ejections of servers without a fault. */
        FALSE_EJECTIONS,
        /** Seconds from the withdrawal of a key to the last request that ran with it. */
        WITHDRAWAL_SECONDS,
        /** Average control traffic of a host, sent and received, in bytes per second. */
        CONTROL_BYTES_PER_HOST_SECOND,
        /** Lowest percentage of good answers, over the teams without a surge; the only lower bound. */
        WORST_TEAM_GOODPUT_PERCENT;

        /** Returns the field name in an experiment file. */
        public String fieldName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Whether the bound is a minimum instead of a maximum. */
        public boolean isLowerBound() {
            return this == WORST_TEAM_GOODPUT_PERCENT;
        }
    }

    /** Whether a measured value meets the bound; NaN never does. */
    public boolean isMetBy(double value) {
        return measure.isLowerBound() ? value >= bound : value <= bound;
    }
}
