package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.stream.Stream;
import org.auburnhoist.gateway.GatewaySettings;
import org.auburnhoist.proxy.RawConnection;
import org.auburnhoist.support.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against bookings that run as only an older configuration allows, because their bodies end after another one
 * came into force.
 */
@Timeout(60)
class LateBodyTest {
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);
    private static final String KEY = "k1";

    private final Closer closer = new Closer();
    private FakeKvStore store;
    private FakeUpstreamServer ledger;
    private GatewaySettings host;
    private int attempts;

    /** A change of the configuration, a key whose requests show that it is in force, and the result of all bookings. */
    private enum Change {
        KEY_WITHDRAWN("[\"k1\"]", "[\"k2\"]", KEY, "401"),
        ROUTE_DROPPED("\"path_prefix\":\"/\",", "\"path_prefix\":\"/elsewhere/\",", KEY, "404"),
        ROUTE_MOVED("\"priority\":1,\"service\":\"ledger\"", "\"priority\":1,\"service\":\"archive\"", KEY, "i-2"),
        /** Does not concern the booking. */
        KEY_ADDED("[\"k1\"]", "[\"k1\",\"k3\"]", "k3", "i-1");

        final String removed;
        final String added;
        final String probeKey;
        final String result;

        Change(String removed, String added, String probeKey, String result) {
            this.removed = removed;
            this.added = added;
            this.probeKey = probeKey;
            this.result = result;
        }
    }

    @BeforeEach
    void start() throws Exception {
        store = closer.register(new FakeKvStore());
        ledger = closer.register(new FakeUpstreamServer("i-1"));
        FakeUpstreamServer archive = closer.register(new FakeUpstreamServer("i-2"));
        store.put("op/config", configuration(4));
        store.put("servers/i-1", ledger.registration("ledger", "ready"));
        store.put("servers/i-2", archive.registration("archive", "ready"));
        host = PlatformHostTest.settings("host-1");
        PlatformHost running = PlatformHost.start(new BootFile(host, store.address()));
        closer.register(running::close);
        awaitResult(KEY, "i-1");
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Bodies take seconds here, so the routes allow more time than in the other tests. */
    private static String configuration(long version) {
        return PlatformHostTest.configuration(version, KEY, 1_000)
                .replace("\"timeout_ms\":2000", "\"timeout_ms\":20000")
                .replace("{\"name\":\"ledger\"}", "{\"name\":\"ledger\"},{\"name\":\"archive\"}");
    }

    /** A caller whose key or route is gone would still have its booking run, and a moved route the old service. */
    @ParameterizedTest
    @EnumSource
    void aBookingWhoseBodyEndsAfterAChangeIsHandledAsTheChangeSays(Change change) throws Exception {
        try (RawConnection caller = RawConnection.to(host.callerAddress())) {
            String attempt = sendHead(caller, KEY);
            store.put("op/config", configuration(9).replace(change.removed, change.added));
            awaitResult(change.probeKey, change.result);
            caller.send("i");
            assertEquals(change.result, readResult(caller));
            assertEquals(change.result.equals("i-1"), ledger.hasRun(attempt), "the former service has run it");
        }
    }

    /** Sends all of a booking but the last byte of its body, and returns the id of the attempt. */
    private String sendHead(RawConnection caller, String key) throws IOException {
        attempts++;
        String attempt = "late-" + attempts;
        caller.send("POST /bill/7 HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Remaining: 15000\r\nAuthorization: Token " + key
                + "\r\nContent-Length: 2\r\n\r\nh");
        return attempt;
    }

    /** Reads a response; the ID of the server that has run the booking, or the status of a refusal. */
    private static String readResult(RawConnection caller) throws IOException {
        String head = caller.readHead();
        assertTrue(head != null, "no answer");
        String body = new String(caller.readBody(head), StandardCharsets.UTF_8);
        return Stream.of("i-1", "i-2")
                .filter(server -> body.equals("from " + server))
                .findFirst()
                .orElse(head.split(" ")[1]);
    }

    private void awaitResult(String key, String expected) throws Exception {
        long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        String result = "";
        while (!result.equals(expected)) {
            assertTrue(System.nanoTime() - end < 0, "expected " + expected + " for " + key + ", got " + result);
            try (RawConnection caller = RawConnection.to(host.callerAddress())) {
                sendHead(caller, key);
                caller.send("i");
                result = readResult(caller);
            }
            Thread.sleep(20);
        }
    }
}
