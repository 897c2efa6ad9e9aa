package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.auburnhoist.core.message.ReportedLimit;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a dispatcher that grants more than its share of a server's limit, or keeps an outdated limit. */
class ServerLimitsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String SERVER = "i-1";

    private final ServerLimits limits = new ServerLimits();

    private static UpstreamServer server(long startedMillis) {
        return new UpstreamServer(SERVER, startedMillis, "pay", "10.0.0.1:80", "a", 6, false, 0);
    }

    @BeforeEach
    void register() {
        limits.updateServers(List.of(server(5)));
    }

    private void state(StatedLimit limit, long grantedNanos, long nowNanos) {
        limits.recordAnswer(SERVER, limit, grantedNanos, nowNanos);
    }

    /** Grants as many requests as allowed, every 10 ms. */
    private int grants(long fromNanos, long untilNanos) {
        int granted = 0;
        for (long now = fromNanos; now < untilNanos; now += SECOND / 100) {
            if (limits.allowsRequest(SERVER, now)) {
                limits.recordGrant(SERVER, now);
                granted++;
            }
        }
        return granted;
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1, 1.2, 7, 40})
    void anyFourSecondsStayWithinTheLimitAndUseIt(double perSecond) {
        state(StatedLimit.of(perSecond), 0, SECOND);
        assertFalse(limits.allowsRequest(SERVER, SECOND), "a limit that has just become known allows nothing at once");
        for (long start = SECOND; start < 60 * SECOND; start += 4 * SECOND) {
            int granted = grants(start, start + 4 * SECOND);
            assertTrue(granted <= Math.ceil(4.1 * perSecond) + 1, "granted " + granted);
            assertTrue(start == SECOND || granted >= Math.floor(3.8 * perSecond), "granted " + granted);
        }
    }

    @Test
    void idleTimeIsNotSaved() {
        state(StatedLimit.of(2), 0, 0);
        assertEquals(1, grants(3_600 * SECOND, 3_600 * SECOND + SECOND / 10));
    }

    @Test
    void aShareAppliesToTheRate() {
        state(StatedLimit.of(5), 0, 0);
        limits.updateShare(0.2);
        assertEquals(10, grants(0, 10 * SECOND + SECOND / 10), 1);
        limits.updateShare(0);
        assertFalse(limits.allowsRequest(SERVER, 60 * SECOND));
        assertEquals(Double.POSITIVE_INFINITY, limits.secondsUntilAllowed(SERVER, 60 * SECOND));
    }

    /** Guards against a limit so low that its withdrawal would not be noticed for minutes. */
    @Test
    void aVeryLowLimitStillAllowsARequestEveryFiveSeconds() {
        state(StatedLimit.of(0.001), 0, 0);
        assertEquals(12, grants(0, 61 * SECOND));
    }

    @Test
    void aWithdrawnLimitAndANewIncarnationAreUnlimited() {
        state(StatedLimit.of(1), 0, SECOND);
        state(StatedLimit.UNLIMITED, SECOND, 2 * SECOND);
        assertEquals(0, limits.limitedCount());
        assertTrue(limits.allowsRequest(SERVER, 2 * SECOND));
        state(StatedLimit.of(1), 2 * SECOND, 3 * SECOND);
        assertFalse(limits.allowsRequest(SERVER, 3 * SECOND));
        limits.updateServers(List.of(server(9)));
        assertTrue(limits.allowsRequest(SERVER, 3 * SECOND));
    }

    /** Guards against a new dispatcher that grants without a limit until it has got an answer itself. */
    @Test
    void aReportOfAnotherHostLimitsAtOnce() {
        limits.recordReport(new ReportedLimit(SERVER, 5, 2, 30_000), 40 * SECOND);
        assertFalse(limits.allowsRequest(SERVER, 40 * SECOND));
        assertEquals(0.5, limits.secondsUntilAllowed(SERVER, 40 * SECOND), 1e-9);
    }

    @Test
    void anOutdatedOrLaxerReportChangesNothing() {
        state(StatedLimit.of(2), 0, 10 * SECOND);
        limits.recordReport(new ReportedLimit(SERVER, 5, 1, 2_000), 11 * SECOND);
        limits.recordReport(new ReportedLimit(SERVER, 5, 4, 0), 11 * SECOND);
        limits.recordReport(new ReportedLimit(SERVER, 4, 1, 0), 11 * SECOND);
        limits.recordReport(new ReportedLimit("i-unknown", 5, 1, 0), 11 * SECOND);
        assertEquals(2, limits.rate(SERVER));
        limits.recordReport(new ReportedLimit(SERVER, 5, 1, 0), 11 * SECOND);
        assertEquals(1, limits.rate(SERVER));
    }

    /** Guards against an old report that limits a server again after it has withdrawn its limit. */
    @Test
    void aReportFromBeforeAWithdrawalChangesNothing() {
        state(StatedLimit.of(2), 0, SECOND);
        state(StatedLimit.UNLIMITED, SECOND, 2 * SECOND);
        limits.recordReport(new ReportedLimit(SERVER, 5, 2, 1_500), 3 * SECOND);
        assertEquals(0, limits.limitedCount());
    }

    @Test
    void changesAreListedOnceWithTheRequestsGrantedBefore() {
        grants(0, SECOND / 10);
        state(StatedLimit.of(3), 0, SECOND);
        state(StatedLimit.of(3), SECOND, 2 * SECOND);
        assertEquals(
                List.of(new LimitChange(SERVER, StatedLimit.of(3), StatedLimit.UNKNOWN, 10)), limits.drainChanges());
        assertEquals(List.of(), limits.drainChanges());
    }
}
