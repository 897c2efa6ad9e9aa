package org.auburnhoist.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.Set;
import org.auburnhoist.core.routing.TeamTerms;
import org.junit.jupiter.api.Test;

/** Guards against limits that are exceeded in some window, and against refusals although the window has room. */
class TeamQuotasTest {
    private static final long SECOND = 1_000_000_000L;
    private static final IsolatedAllowance.Tolerance TOLERANCE = new IsolatedAllowance.Tolerance(5, 0.1, 20);
    private static final TeamTerms TEAM = new TeamTerms("members", -1, 10, 10);

    @Test
    void noWindowExceedsRateTimesWindowPlusBurst() {
        TeamQuotas quotas = new TeamQuotas(TOLERANCE, 0);
        Random random = new Random(7);
        Deque<Long> admitted = new ArrayDeque<>();
        int most = 0;
        for (long now = 60 * SECOND; now < 120 * SECOND; now += 1 + (long) (random.nextDouble() * 0.03 * SECOND)) {
            if (quotas.acquire(TEAM, now) instanceof TokenDecision.Spend) {
                admitted.add(now);
            }
            while (!admitted.isEmpty() && now - admitted.getFirst() >= 5 * SECOND) {
                admitted.removeFirst();
            }
            most = Math.max(most, admitted.size());
        }
        assertTrue(most <= 60, "most in a window: " + most);
        assertTrue(most >= 55, "most in a window: " + most);
    }

    @Test
    void aClumpIsAdmittedWhileTheWindowHasRoom() {
        TeamQuotas quotas = new TeamQuotas(TOLERANCE, 0);
        int admitted = 0;
        for (int request = 0; request < 50; request++) {
            admitted += quotas.acquire(TEAM, 60 * SECOND) instanceof TokenDecision.Spend ? 1 : 0;
        }
        assertEquals(50, admitted);
    }

    @Test
    void aRefusalTellsWhenThereIsRoom() {
        TeamQuotas quotas = new TeamQuotas(TOLERANCE, 0);
        long now = 60 * SECOND;
        TokenDecision decision;
        do {
            decision = quotas.acquire(TEAM, now);
        } while (decision instanceof TokenDecision.Spend);
        long wait = assertInstanceOf(TokenDecision.Refuse.class, decision).retryAfterMillis();
        assertTrue(wait > 0 && wait <= 5_200, "wait " + wait);
        assertInstanceOf(TokenDecision.Spend.class, quotas.acquire(TEAM, now + wait * 1_000_000L));
    }

    @Test
    void aNewOwnerDoesNotGrantTheWindowThatAnEarlierOneMayHaveGranted() {
        TeamQuotas quotas = new TeamQuotas(TOLERANCE, 0);
        quotas.membersChanged(Set.of("members"), 60 * SECOND);
        assertFalse(quotas.isSettled("members", 61 * SECOND));
        assertTrue(quotas.isSettled("members", 63 * SECOND));
        int admitted = 0;
        for (int request = 0; request < 100; request++) {
            admitted += quotas.acquire(TEAM, 60 * SECOND) instanceof TokenDecision.Spend ? 1 : 0;
        }
        assertEquals(8, admitted, "only a part of the tolerated excess");
    }

    @Test
    void changesOfOtherHostsDoNotKeepAnOwnerFromDeciding() {
        TeamQuotas quotas = new TeamQuotas(TOLERANCE, 0);
        for (int change = 0; change < 10; change++) {
            quotas.membersChanged(Set.of("members"), (60 + change) * SECOND);
        }
        assertTrue(quotas.isSettled("members", 69 * SECOND));
        quotas.membersChanged(Set.of(), 70 * SECOND);
        quotas.membersChanged(Set.of("members"), 71 * SECOND);
        assertFalse(quotas.isSettled("members", 72 * SECOND), "another host may have decided in between");
    }

    @Test
    void isolatedHostsStayWithinTheExcessAtTheEndsOfTheRange() {
        for (int hosts : new int[] {3, 40, 100}) {
            for (double rate : new double[] {1, 30, 2_000}) {
                TeamTerms team = new TeamTerms("t", -1, rate, rate);
                double excess = 0.1 * 6 * rate + 20;
                double steady = 0;
                for (int host = 0; host < hosts; host++) {
                    IsolatedAllowance allowance = new IsolatedAllowance(TOLERANCE, new Random(host));
                    int admitted = 0;
                    for (int tick = 0; tick < 20_000; tick++) {
                        admitted += allowance.tryAcquire(team, hosts, tick * 10_000_000L) ? 1 : 0;
                    }
                    steady += admitted / 40.0;
                }
                assertTrue(steady <= excess, hosts + " hosts, rate " + rate + ": " + steady + " of " + excess);
            }
        }
    }
}
