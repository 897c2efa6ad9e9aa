package org.auburnhoist.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.SlotVerdict;
import org.auburnhoist.core.routing.UpstreamServer;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that silences one server after another, and against refusing an innocent request because of
 * slow servers, cut paths or servers that leave.
 */
class SilentServersTest {
    private static final long SECOND = 1_000_000_000L;
    private static final HostId HOST = new HostId("host-1", 1);
    private static final long SILENCING = 77;

    private final List<UpstreamServer> registered = new ArrayList<>();
    private final PriorityDispatcher dispatcher = new PriorityDispatcher(
            new PriorityDispatcherSettings(new FloorSettings(0.7, Duration.ofSeconds(6)), Duration.ofMillis(200)),
            new Random(3));
    private long nextToken = 1;
    private long now = SECOND;

    SilentServersTest() {
        for (int number = 1; number <= 8; number++) {
            registered.add(server("server-" + number, 1, false));
        }
        dispatcher.updateServers(registered, now);
    }

    private static UpstreamServer server(String id, long startedMillis, boolean leaving) {
        return new UpstreamServer(id, startedMillis, "pay", "10.0.0.1:" + id.substring(7), "a", 6, leaving, 0);
    }

    private SlotAnswer request(long fingerprint) {
        return request(fingerprint, List.of());
    }

    private SlotAnswer request(long fingerprint, List<String> excluded) {
        SlotRequest request = new SlotRequest("pay", "r", "team", TrafficClass.BOOKING, 8_000, fingerprint, excluded);
        return dispatcher.request(request, HOST, nextToken++, now).get(0).answer();
    }

    private void release(SlotAnswer slot, AttemptOutcome outcome) {
        dispatcher.release(new SlotRelease("pay", slot.grantId(), outcome, 4_000_000), HOST, now);
    }

    /** The request is sent and has no answer for four seconds; returns its server. */
    private String timeOut() {
        SlotAnswer slot = request(SILENCING);
        now += 4 * SECOND;
        release(slot, AttemptOutcome.TIMEOUT);
        return slot.server();
    }

    private void remove(String server) {
        registered.removeIf(entry -> entry.id().equals(server));
        dispatcher.updateServers(registered, now);
    }

    private void loseThreeServers() {
        for (int count = 0; count < 3; count++) {
            String server = timeOut();
            now += SECOND;
            remove(server);
        }
    }

    @Test
    void requestIsRefusedAfterThreeSilentServersWhoseEntriesVanish() {
        loseThreeServers();
        assertEquals(SlotVerdict.QUARANTINED, request(SILENCING).verdict());
        assertEquals(SlotVerdict.GRANTED, request(5).verdict());
    }

    @Test
    void requestIsRefusedWhereTheEntriesVanishBeforeItsTimeout() {
        for (int count = 0; count < 3; count++) {
            SlotAnswer slot = request(SILENCING);
            now += 4 * SECOND;
            remove(slot.server());
            now += SECOND;
            release(slot, AttemptOutcome.TIMEOUT);
        }
        assertEquals(SlotVerdict.QUARANTINED, request(SILENCING).verdict());
    }

    @Test
    void requestIsRefusedWhereServersComeBackUnderTheirIds() {
        for (int count = 0; count < 3; count++) {
            String server = timeOut();
            now += SECOND;
            registered.replaceAll(entry -> entry.id().equals(server) ? server(server, now, false) : entry);
            dispatcher.updateServers(registered, now);
        }
        assertEquals(SlotVerdict.QUARANTINED, request(SILENCING).verdict());
    }

    /** Guards against taking a cut path for a silent server: the server still writes its entry. */
    @Test
    void serversThatStayRegisteredAreNoEvidence() {
        for (int count = 0; count < 5; count++) {
            timeOut();
            now += SECOND;
        }
        assertEquals(SlotVerdict.GRANTED, request(SILENCING).verdict());
        now += 60 * SECOND;
        registered.clear();
        registered.add(server("server-9", 1, false));
        dispatcher.updateServers(registered, now);
        assertEquals(SlotVerdict.GRANTED, request(SILENCING).verdict());
    }

    /** Guards against taking a slow request for the cause of a server's end. */
    @Test
    void serversThatAnswerOthersMeanwhileAreNoEvidence() {
        for (int count = 0; count < 3; count++) {
            SlotAnswer slot = request(SILENCING);
            List<SlotAnswer> others = new ArrayList<>();
            for (long other = 0; other < 16; other++) {
                others.add(request(1_000 + now + other));
            }
            now += 4 * SECOND;
            others.forEach(other -> release(other, AttemptOutcome.SUCCESS));
            release(slot, AttemptOutcome.TIMEOUT);
            remove(slot.server());
        }
        assertEquals(SlotVerdict.GRANTED, request(SILENCING).verdict());
    }

    /** Guards against taking a server that answers a later request for a silent one. */
    @Test
    void serversThatAnswerAfterTheTimeoutAreNoEvidence() {
        for (int count = 0; count < 3; count++) {
            List<SlotAnswer> others = new ArrayList<>();
            SlotAnswer slot = request(SILENCING);
            for (long other = 0; other < 16; other++) {
                others.add(request(1_000 + now + other));
            }
            now += 4 * SECOND;
            release(slot, AttemptOutcome.TIMEOUT);
            others.forEach(other -> release(other, AttemptOutcome.SUCCESS));
            remove(slot.server());
        }
        assertEquals(SlotVerdict.GRANTED, request(SILENCING).verdict());
    }

    /** Guards against blaming a request that several servers had when they lost power or were cut off together. */
    @Test
    void serversThatFallSilentTogetherAreNoEvidenceAgainstOneRequest() {
        List<SlotAnswer> slots = new ArrayList<>();
        List<String> servers = new ArrayList<>();
        for (int count = 0; count < 5; count++) {
            slots.add(request(SILENCING, servers));
            servers.add(slots.get(count).server());
        }
        now += 4 * SECOND;
        slots.forEach(slot -> release(slot, AttemptOutcome.TIMEOUT));
        for (String server : servers) {
            now += SECOND / 4;
            remove(server);
        }
        assertEquals(SlotVerdict.GRANTED, request(SILENCING).verdict());
    }

    @Test
    void serversThatAnnounceTheirLeavingAreNoEvidence() {
        for (int count = 0; count < 3; count++) {
            String server = timeOut();
            registered.replaceAll(entry -> entry.id().equals(server) ? server(server, 1, true) : entry);
            dispatcher.updateServers(registered, now);
            now += SECOND;
            remove(server);
        }
        assertEquals(SlotVerdict.GRANTED, request(SILENCING).verdict());
    }

    /** Guards against an innocent request that is refused for long, and a guilty one that gets more than one trial. */
    @Test
    void requestIsLetGoAfterTwoMinutesAndHeldLongerWhenTheEvidenceRepeats() {
        loseThreeServers();
        now += 121 * SECOND;
        String server = timeOut();
        remove(server);
        now += 121 * SECOND;
        assertEquals(SlotVerdict.QUARANTINED, request(SILENCING).verdict());
    }

    @Test
    void requestThatCompletesAfterItWasLetGoIsInnocent() {
        loseThreeServers();
        now += 121 * SECOND;
        release(request(SILENCING), AttemptOutcome.SUCCESS);
        remove(timeOut());
        assertEquals(SlotVerdict.GRANTED, request(SILENCING).verdict());
    }
}
