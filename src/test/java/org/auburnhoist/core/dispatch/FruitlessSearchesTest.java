package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SchedulingParameters;
import org.auburnhoist.core.message.SlotRequest;
import org.junit.jupiter.api.Test;

/** Guards against a request that is left waiting because another one, for which other servers count, found none. */
class FruitlessSearchesTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 100 * SECOND;
    private static final HostId HOST = new HostId("host-1", 1);
    private static final HostId OTHER = new HostId("host-2", 1);

    private final SpellJudge judge = new SpellJudge();
    private final FruitlessSearches searches = new FruitlessSearches(judge, NOW);

    private static WaitingRequest waiting(
            TrafficClass kind, HostId asking, long waitedSeconds, List<String> excluded, List<String> returnsTo) {
        SchedulingParameters terms = new SchedulingParameters(1, 500, 1, "a", List.of(), returnsTo);
        SlotRequest request = new SlotRequest("pay", "r", "team", kind, 10_000, 1, excluded, terms);
        return new WaitingRequest(request, asking, 1, NOW + 10 * SECOND - waitedSeconds * SECOND);
    }

    private static WaitingRequest booking(HostId asking, long waitedSeconds) {
        return waiting(TrafficClass.BOOKING, asking, waitedSeconds, List.of(), List.of());
    }

    @Test
    void onlyRequestsLikeTheFirstThatWaitedNoLongerNeedNoSearch() {
        searches.add(booking(HOST, 2));
        assertTrue(searches.include(booking(HOST, 2)));
        assertTrue(searches.include(booking(OTHER, 1)));
        assertFalse(searches.include(booking(HOST, 3)));
        assertFalse(searches.include(waiting(TrafficClass.LOOKUP, HOST, 2, List.of(), List.of())));
        assertFalse(searches.include(waiting(TrafficClass.BOOKING, HOST, 2, List.of("i-1"), List.of())));
        assertFalse(searches.include(waiting(TrafficClass.BOOKING, HOST, 2, List.of(), List.of("i-1"))));
    }

    @Test
    void aHostWhosePathsAreInDoubtSpeaksForItselfOnly() {
        judge.observe(
                new Observation("i-1", TrafficClass.BOOKING, HOST, 1, AttemptOutcome.CONNECT_FAILED, 0),
                NOW - SECOND,
                0.5,
                NOW - SECOND);
        searches.add(booking(HOST, 2));
        assertFalse(searches.include(booking(OTHER, 2)));
        searches.add(booking(OTHER, 2));
        assertTrue(searches.include(booking(OTHER, 2)));
    }
}
