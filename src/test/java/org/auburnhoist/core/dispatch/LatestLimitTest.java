package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.auburnhoist.core.message.StatedLimit;
import org.junit.jupiter.api.Test;

/** Guards against a limit that an answer withdraws, raises or revives although it was sent before a later answer. */
class LatestLimitTest {
    private static final StatedLimit ONE = StatedLimit.of(1);
    private static final StatedLimit THREE = StatedLimit.of(3);
    private static final LatestLimit LIMITED = LatestLimit.UNKNOWN.after(THREE, 100, 200);

    @Test
    void theFirstAnswerAppliesWhateverItSays() {
        assertEquals(THREE, LIMITED.limit());
        assertEquals(
                StatedLimit.UNLIMITED,
                LatestLimit.UNKNOWN.after(StatedLimit.UNLIMITED, 0, 1).limit());
    }

    @Test
    void aLimitIsLoweredByAnyAnswer() {
        assertEquals(ONE, LIMITED.after(ONE, 50, 210).limit());
        assertEquals(ONE, LIMITED.after(ONE, 250, 300).limit());
    }

    @Test
    void aLimitIsRaisedOrWithdrawnOnlyByACertainlyLaterAnswer() {
        assertEquals(THREE, LIMITED.after(StatedLimit.of(5), 199, 400).limit());
        assertEquals(THREE, LIMITED.after(StatedLimit.UNLIMITED, 199, 400).limit());
        assertEquals(
                StatedLimit.of(5), LIMITED.after(StatedLimit.of(5), 200, 400).limit());
        assertEquals(
                StatedLimit.UNLIMITED,
                LIMITED.after(StatedLimit.UNLIMITED, 200, 400).limit());
    }

    /** Guards against a limit that is never raised because earlier requests are always in flight. */
    @Test
    void answersThatMayBeEarlierDoNotDelayARaise() {
        LatestLimit latest = LIMITED.after(StatedLimit.of(5), 199, 400);
        assertEquals(
                StatedLimit.of(5), latest.after(StatedLimit.of(5), 201, 410).limit());
    }

    @Test
    void anAnswerThatSaysNothingChangesNothing() {
        assertEquals(LIMITED, LIMITED.after(StatedLimit.UNKNOWN, 500, 600));
    }
}
