package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.ServerNotice;
import org.auburnhoist.core.message.StatedLimit;
import org.auburnhoist.proxy.Forwarding;
import org.auburnhoist.proxy.RequestHead;
import org.junit.jupiter.api.Test;

/**
 * Guards against forwarding keys and forged team names to servers, and against statuses that tell callers that a
 * request has not run although that is unknown.
 */
class PlatformWireRulesTest {
    private static final Map.Entry<String, String> SIGNED = Map.entry("X-Response-Signature", "s");
    private static final Map.Entry<String, String> ECHO = Map.entry("X-Attempt-Id", "a1");
    private static final Map.Entry<String, String> NOT_EXECUTED = Map.entry("X-Not-Executed", "1");

    private final PlatformWireRules rules = new PlatformWireRules();

    private static RequestHead head(List<Map.Entry<String, String>> headers) {
        return new RequestHead("id", "GET", "/a/", null, headers, 0, "10.0.0.9");
    }

    @Test
    void serversReceiveTheTeamButNeverTheKey() {
        RequestHead head = head(List.of(
                Map.entry("Host", "one.example"),
                Map.entry("authorization", "Token secret"),
                Map.entry("X-TENANT", "forged"),
                Map.entry("x-target-instance", "forged"),
                Map.entry("X-Deadline-Remaining", "2500"),
                Map.entry("Connection", "X-Hop"),
                Map.entry("X-Hop", "1"),
                Map.entry("X-Other", "kept"),
                ECHO));
        List<Map.Entry<String, String>> sent = rules.upstreamRequestHeaders(
                head, new Forwarding.Target.ServerTarget("i-1", "10.0.0.1:80", 1), "members", "host");
        assertEquals(
                List.of(
                        Map.entry("Host", "one.example"),
                        Map.entry("X-Other", "kept"),
                        ECHO,
                        Map.entry("X-Target-Instance", "i-1"),
                        Map.entry("X-Tenant", "members")),
                sent);
    }

    /** Guards against the promise that a request has not run, which an earlier refusal without an ID would give. */
    @Test
    void aRefusalWithoutTheAttemptsIdStatesNothing() {
        assertEquals(AttemptOutcome.REJECTED, rules.attemptOutcome(503, List.of(ECHO, NOT_EXECUTED)));
        assertEquals(AttemptOutcome.SERVER_ERROR, rules.attemptOutcome(503, List.of(NOT_EXECUTED)));
        assertEquals(AttemptOutcome.MISDIRECTED, rules.attemptOutcome(421, List.of(ECHO)));
        assertEquals(AttemptOutcome.SERVER_ERROR, rules.attemptOutcome(421, List.of(NOT_EXECUTED)));
    }

    /** Guards against a limit of the wrong server, and against a response of unknown origin that withdraws a limit. */
    @Test
    void onlyTheRequestedServersResponseStatesItsLimit() {
        Map.Entry<String, String> limit = Map.entry("Server-Limit", "1.5");
        assertEquals(
                StatedLimit.of(1.5),
                rules.serverNotice(200, List.of(SIGNED, ECHO, limit)).limit());
        assertEquals(
                StatedLimit.of(1.5), rules.serverNotice(500, List.of(limit)).limit());
        assertEquals(
                StatedLimit.UNLIMITED,
                rules.serverNotice(503, List.of(ECHO, NOT_EXECUTED)).limit());
        assertEquals(
                StatedLimit.UNKNOWN, rules.serverNotice(200, List.of(SIGNED)).limit());
        assertEquals(
                StatedLimit.UNKNOWN,
                rules.serverNotice(421, List.of(ECHO, limit)).limit());
        assertEquals(StatedLimit.UNKNOWN, rules.serverNotice(421, List.of(ECHO)).limit());
    }

    /** Guards against a server that is closed for good because the next server at its address said that it leaves. */
    @Test
    void aMisdirectedRequestSaysNothingOfTheRequestedServer() {
        Map.Entry<String, String> leaving = Map.entry("Server-Leaving", "1");
        assertEquals(new ServerNotice(true, 0, StatedLimit.UNLIMITED), rules.serverNotice(200, List.of(ECHO, leaving)));
        assertEquals(ServerNotice.NONE, rules.serverNotice(421, List.of(ECHO, leaving)));
    }

    @Test
    void aRequestCountsAsNotRunOnlyIfTheServerStatesIt() {
        assertEquals(AttemptOutcome.REJECTED, rules.attemptOutcome(503, List.of(ECHO, NOT_EXECUTED)));
        assertEquals(AttemptOutcome.MISDIRECTED, rules.attemptOutcome(421, List.of(ECHO, NOT_EXECUTED)));
        assertEquals(AttemptOutcome.SERVER_ERROR, rules.attemptOutcome(503, List.of(SIGNED, ECHO)));
        assertEquals(AttemptOutcome.SERVER_ERROR, rules.attemptOutcome(429, List.of(SIGNED, ECHO)));
        assertEquals(AttemptOutcome.SERVER_ERROR, rules.attemptOutcome(500, List.of(SIGNED, ECHO)));
        assertEquals(AttemptOutcome.SUCCESS, rules.attemptOutcome(200, List.of(SIGNED, ECHO)));
        assertEquals(AttemptOutcome.SUCCESS, rules.attemptOutcome(404, List.of(SIGNED, ECHO)));
    }

    @Test
    void notRunStatusesAndUnsignedSuccessesAreNotForwarded() {
        assertFalse(rules.mayForwardResponse(503, List.of(SIGNED, ECHO)));
        assertFalse(rules.mayForwardResponse(429, List.of(SIGNED, ECHO)));
        assertFalse(rules.mayForwardResponse(408, List.of(SIGNED, ECHO)));
        assertFalse(rules.mayForwardResponse(200, List.of(ECHO)));
        assertFalse(rules.mayForwardResponse(200, List.of(SIGNED)));
        assertTrue(rules.mayForwardResponse(200, List.of(SIGNED, ECHO)));
        assertTrue(rules.mayForwardResponse(500, List.of(SIGNED, ECHO)));
        assertEquals(AttemptOutcome.SERVER_ERROR, rules.attemptOutcome(200, List.of(ECHO)));
    }

    @Test
    void aResponseToAnotherAttemptIsRecognised() {
        RequestHead head = head(List.of(ECHO));
        assertTrue(rules.isResponseTo(head, List.of(ECHO)));
        assertTrue(rules.isResponseTo(head, List.of()));
        assertFalse(rules.isResponseTo(head, List.of(Map.entry("x-attempt-id", "a2"))));
    }

    @Test
    void aRequestThatReachedNoServerGetsANotRunStatus() {
        assertEquals(503, rules.status(Refusal.UPSTREAM_UNREACHABLE));
        assertEquals(503, rules.status(Refusal.SERVICE_OVERLOADED));
        assertEquals(502, rules.status(Refusal.UPSTREAM_FAILED));
        assertEquals(504, rules.status(Refusal.UPSTREAM_TIMEOUT));
        for (Refusal refusal : Refusal.values()) {
            boolean notRunStatus = List.of(408, 421, 429, 503).contains(rules.status(refusal));
            assertTrue(!notRunStatus || refusal.outcome() == Refusal.Outcome.NOT_RUN, refusal.code());
        }
        assertEquals("0.250", rules.retryAfter(250));
        assertEquals("2.005", rules.retryAfter(2_005));
    }
}
