package org.auburnhoist.load;

import java.util.Locale;

/**
 * A bound on one measure of an experiment.
 *
 * @param measure what is bounded
 * @param bound the bound
 */
public record Expectation(Measure measure, double bound) {
    /** What can be bounded. */
    public enum Measure {
        /** Operations that ran more than once. */
        DUPLICATES,
        /** Requests with a caller's key that reached an upstream. */
        LEAKED_KEYS,
        /** Answers presented as whole that were not. */
        INCOMPLETE_ANSWERS,
        /** Answers to other requests. */
        CROSSED_ANSWERS,
        /** Admissions beyond rate and burst of their teams. */
        OVER_RATE_ADMISSIONS,
        /** Attempts that were sent and got no whole answer. */
        CUT_REQUESTS,
        /** Percentage of the attempts within the rate that were refused, of the worst team. */
        REFUSALS_WITHIN_RATE_PERCENT,
        /** Percentage of requests with an upstream's failure or without an answer. */
        FAILED_ANSWERS_PERCENT,
        /** Longest time in seconds from a gray fault to the ejection of its server. */
        DETECTION_SECONDS,
        /** Ejections of servers without a fault. */
        FALSE_EJECTIONS,
        /** Seconds from the withdrawal of a key to the last request that ran with it. */
        WITHDRAWAL_SECONDS,
        /** Bytes that a host sends and receives for control in a second, on average. */
        CONTROL_BYTES_PER_HOST_SECOND,
        /** Percentage of good answers of the worst team that sends within its rate; the only lower bound. */
        WORST_TEAM_GOODPUT_PERCENT;

        /** The name in an experiment file. */
        public String fieldName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Whether a value must be at least the bound instead of at most. */
        public boolean isLowerBound() {
            return this == WORST_TEAM_GOODPUT_PERCENT;
        }
    }

    /** Whether a measured value keeps the bound; a value that is not a number never does. */
    public boolean isMetBy(double value) {
        return measure.isLowerBound() ? value >= bound : value <= bound;
    }
}
