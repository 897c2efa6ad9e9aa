package org.auburnhoist.core.membership;

import java.time.Duration;

/**
 * Time limits and intervals of the membership protocol.
 *
 * @param freshnessLimit maximum age of the information on which a host may base decisions
 * @param deadAfter time without contact after which a member is proposed for removal
 * @param clockRateError maximum relative error of a host's clock rate: a clock advances by at most {@code 1 + error}
 *     and at least {@code 1 / (1 + error)} per unit of true time
 * @param pullInterval time between two pulls of a host
 * @param storeReadInterval time between two reads of a store reader
 * @param storeReadersPerDataCentre members per data centre that read the store
 */
public record MembershipSettings(
        Duration freshnessLimit,
        Duration deadAfter,
        double clockRateError,
        Duration pullInterval,
        Duration storeReadInterval,
        int storeReadersPerDataCentre) {
    /** Default settings. */
    public static final MembershipSettings STANDARD = new MembershipSettings(
            Duration.ofSeconds(6), Duration.ofSeconds(8), 0.001, Duration.ofMillis(500), Duration.ofSeconds(1), 2);

    /** Checks the values against each other. */
    public MembershipSettings {
        require(isPositive(freshnessLimit), "freshnessLimit", freshnessLimit, "more than 0");
        require(deadAfter.compareTo(freshnessLimit) > 0, "deadAfter", deadAfter, "more than freshnessLimit");
        require(
                deadAfter.toNanos() / AgeCodec.UNIT_NANOS < AgeCodec.UNKNOWN,
                "deadAfter",
                deadAfter,
                "less than the maximum age that a pull answer can encode (25.5 s)");
        require(clockRateError >= 0 && clockRateError < 0.1, "clockRateError", clockRateError, "from 0 to 0.1");
        require(isPositive(pullInterval), "pullInterval", pullInterval, "more than 0");
        require(
                pullInterval.multipliedBy(2).compareTo(freshnessLimit) <= 0,
                "pullInterval",
                pullInterval,
                "at most half of freshnessLimit");
        require(isPositive(storeReadInterval), "storeReadInterval", storeReadInterval, "more than 0");
        require(storeReadersPerDataCentre > 0, "storeReadersPerDataCentre", storeReadersPerDataCentre, "at least 1");
    }

    /**
     * Returns how long a new owner waits, on its own clock, after learning that its takeover is settled. The clock of
     * the former owner may be slow while that of the new owner is fast, hence the square.
     */
    public long takeoverWaitNanos() {
        double stretch = (1 + clockRateError) * (1 + clockRateError);
        return (long) Math.ceil(freshnessLimit.toNanos() * stretch) + 1;
    }

    private static boolean isPositive(Duration duration) {
        return duration.compareTo(Duration.ZERO) > 0;
    }

    private static void require(boolean valid, String name, Object value, String expected) {
        if (!valid) {
            throw new IllegalArgumentException(name + " is " + value + ", expected " + expected);
        }
    }
}
