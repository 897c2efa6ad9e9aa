package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.auburnhoist.core.message.ReportedLimit;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.api.Test;

/** Guards against requests to servers that have announced that they leave or pause, or want fewer. */
class ServerNoticesTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ServerNotice LEAVING = new ServerNotice(true, 0);
    private static final ServerNotice PAUSE = new ServerNotice(false, 2_000);

    private final ServerNotices notices = new ServerNotices();

    private static UpstreamServer server(String id, long startedMillis) {
        return new UpstreamServer(id, startedMillis, "pay", "10.0.0.1:80", "a", 6, false, 0);
    }

    @Test
    void aLeavingServerStaysClosedUntilItIsANewIncarnation() {
        notices.record("i-1", 5, LEAVING, 0);
        notices.removeExpired(List.of(), 3_600 * SECOND);
        notices.removeExpired(List.of(server("i-1", 5), server("i-2", 6)), 7_200 * SECOND);
        assertTrue(notices.isClosed("i-1", 5, 7_200 * SECOND));
        notices.removeExpired(List.of(server("i-1", 9)), 7_201 * SECOND);
        assertFalse(notices.isClosed("i-1", 9, 7_201 * SECOND));
    }

    @Test
    void theNoticeOfAServerNotYetRegisteredAppliesToItsIncarnation() {
        notices.record("i-1", ServerNotices.UNKNOWN_START, LEAVING, 0);
        assertTrue(notices.isClosed("i-1", 5, SECOND));
        notices.removeExpired(List.of(server("i-1", 5)), SECOND);
        assertTrue(notices.isClosed("i-1", 5, 2 * SECOND));
        assertFalse(notices.isClosed("i-1", 6, 2 * SECOND));
    }

    @Test
    void aPauseEndsOnTimeAndTheLongerOfTwoApplies() {
        notices.record("i-1", 5, PAUSE, 0);
        notices.record("i-1", 5, new ServerNotice(false, 500), SECOND);
        assertTrue(notices.isClosed("i-1", 5, 2 * SECOND - 1));
        assertFalse(notices.isClosed("i-1", 5, 2 * SECOND));
    }

    @Test
    void theEarliestEndOfAPauseIsTheRetryDelay() {
        notices.record("i-1", 5, PAUSE, 0);
        notices.record("i-2", 5, new ServerNotice(false, 700), 0);
        notices.record("i-3", 5, LEAVING, 0);
        List<UpstreamServer> all = List.of(server("i-1", 5), server("i-2", 5), server("i-3", 5));
        assertEquals(List.of("i-1", "i-2", "i-3"), notices.closedAmong(all, SECOND / 2));
        assertEquals(200, notices.millisUntilOpen(all, SECOND / 2, 300));
        assertEquals(300, notices.millisUntilOpen(List.of(server("i-3", 5)), SECOND / 2, 300));
    }

    private static ReportedLimit reported(String server, double perSecond, long ageMillis) {
        return new ReportedLimit(server, 5, perSecond, ageMillis);
    }

    /** Guards against a dispatcher that is not told of the limits that this host knows. */
    @Test
    void limitsAreReportedLatestFirstUntilTheyAreWithdrawn() {
        List<UpstreamServer> all = List.of(server("i-1", 5), server("i-2", 5), server("i-3", 5));
        notices.recordLimit("i-1", 5, StatedLimit.of(1), 0, SECOND);
        notices.recordLimit("i-2", 5, StatedLimit.of(2), 0, 2 * SECOND);
        notices.recordLimit("i-3", 5, StatedLimit.UNLIMITED, 0, SECOND);
        assertEquals(
                List.of(reported("i-2", 2, 1_000), reported("i-1", 1, 2_000)), notices.limitsAmong(all, 3 * SECOND));
        notices.recordLimit("i-2", 5, StatedLimit.UNKNOWN, 3 * SECOND, 4 * SECOND);
        notices.recordLimit("i-1", 5, StatedLimit.UNLIMITED, 3 * SECOND, 4 * SECOND);
        assertEquals(List.of(reported("i-2", 2, 2_000)), notices.limitsAmong(all, 4 * SECOND));
    }

    /** Guards against a limit that outlives its server, and against one that is kept although nobody names it. */
    @Test
    void limitsOfEarlierIncarnationsAndOldOnesAreForgotten() {
        notices.recordLimit("i-1", 5, StatedLimit.of(1), 0, 0);
        notices.recordLimit("i-2", 5, StatedLimit.of(1), 0, 0);
        notices.recordLimit("i-3", ServerNotices.UNKNOWN_START, StatedLimit.of(3), 0, 0);
        List<UpstreamServer> all = List.of(server("i-1", 6), server("i-2", 5), server("i-3", 5));
        notices.removeExpired(all, SECOND);
        assertEquals(List.of("i-2", "i-3"), servers(notices.limitsAmong(all, SECOND)));
        notices.removeExpired(all, 61 * SECOND);
        assertEquals(List.of(), notices.limitsAmong(all, 61 * SECOND));
    }

    private static List<String> servers(List<ReportedLimit> limits) {
        return limits.stream().map(ReportedLimit::server).sorted().toList();
    }
}
