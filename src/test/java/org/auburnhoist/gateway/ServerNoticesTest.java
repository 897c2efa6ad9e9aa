package org.auburnhoist.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.api.Test;

/** Guards against requests to servers that have announced that they leave or pause. */
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
}
