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

/** Guards against skipping the search for a request because a request with other eligible servers found none. */
class NegativeSearchCacheTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NOW = 100 * NANOS_PER_SECOND;
    private static final HostId HOST = new HostId("host-1", 1);
    private static final HostId OTHER = new HostId("host-2", 1);

    private final TransientFailureDetector failureDetector = new TransientFailureDetector();
    private final NegativeSearchCache failedSearches = new NegativeSearchCache(failureDetector, NOW);

    private static WaitingRequest waiting(
            TrafficClass trafficClass,
            HostId requestingHost,
            long waitedSeconds,
            List<String> excluded,
            List<String> allowedServers) {
        SchedulingParameters terms = new SchedulingParameters(1, 500, 1, "a", List.of(), allowedServers);
        SlotRequest request = new SlotRequest("pay", "r", "team", trafficClass, 10_000, 1, excluded, terms);
        return new WaitingRequest(
                request, requestingHost, 1, NOW + 10 * NANOS_PER_SECOND - waitedSeconds * NANOS_PER_SECOND);
    }

    private static WaitingRequest booking(HostId requestingHost, long waitedSeconds) {
        return waiting(TrafficClass.BOOKING, requestingHost, waitedSeconds, List.of(), List.of());
    }

    @Test
    void equivalentRequestsThatWaitedNoLongerAreSkipped() {
        failedSearches.add(booking(HOST, 2));
        assertTrue(failedSearches.covers(booking(HOST, 2)));
        assertTrue(failedSearches.covers(booking(OTHER, 1)));
        assertFalse(failedSearches.covers(booking(HOST, 3)));
        assertFalse(failedSearches.covers(waiting(TrafficClass.LOOKUP, HOST, 2, List.of(), List.of())));
        assertFalse(failedSearches.covers(waiting(TrafficClass.BOOKING, HOST, 2, List.of("i-1"), List.of())));
        assertFalse(failedSearches.covers(waiting(TrafficClass.BOOKING, HOST, 2, List.of(), List.of("i-1"))));
    }

    @Test
    void failedSearchOfHostWithSuspectPathDoesNotApplyToOtherHosts() {
        failureDetector.observe(
                new Observation("i-1", TrafficClass.BOOKING, HOST, 1, AttemptOutcome.CONNECT_FAILED, 0),
                NOW - NANOS_PER_SECOND,
                0.5,
                NOW - NANOS_PER_SECOND);
        failedSearches.add(booking(HOST, 2));
        assertFalse(failedSearches.covers(booking(OTHER, 2)));
        failedSearches.add(booking(OTHER, 2));
        assertTrue(failedSearches.covers(booking(OTHER, 2)));
    }
}
