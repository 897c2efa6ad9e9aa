package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.RepeatedTest;

/**
 * Guards against a fleet that calls an unavailable store far more often than necessary, and against calls that come too
 * late.
 */
class RetryDelayTest {
    private static final long SECOND = 1_000_000_000L;

    private final RetryDelay delay = new RetryDelay(new SplittableRandom());

    /**
     * Number of attempts in an outage. The first was made with some time left until the deadline and has just failed.
     */
    private int attempts(long remainingNanos, long outageNanos) {
        int attempts = 1;
        long now = 0;
        while (true) {
            now += delay.nextNanos(remainingNanos - now);
            if (now > outageNanos) {
                return attempts;
            }
            attempts++;
        }
    }

    @RepeatedTest(20)
    void aLeaseWithMuchTimeLeftIsRarelyTried() {
        assertTrue(attempts(11 * SECOND, 9 * SECOND) <= 6);
    }

    @RepeatedTest(20)
    void aLeaseIsTriedSeveralTimesBeforeItsEnd() {
        assertTrue(attempts(11 * SECOND, 11 * SECOND) >= 5);
    }

    @RepeatedTest(20)
    void withoutTimeLeftAttemptsFollowShortly() {
        delay.reset();
        long waited = delay.nextNanos(-SECOND);
        assertTrue(waited > 0 && waited < SECOND / 2, waited + " ns");
    }
}
