package org.auburnhoist.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.auburnhoist.proxy.RawConnection;
import org.auburnhoist.store.HostList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against leaked keys, repeated bookings, exceeded rate limits, hosts that need the store to serve, and hosts
 * that revert documents. Runs three hosts between HTTP callers and an upstream on loopback sockets, with an emulated
 * store.
 */
class EntryHostTest {
    private static final String AUTHORIZATION = "Bearer " + TestFleet.KEY;

    private static final Duration SLOW_WORK = Duration.ofSeconds(5);

    private final AtomicInteger bookingRuns = new AtomicInteger();
    private final Queue<String> leakedKeys = new ConcurrentLinkedQueue<>();
    private TestFleet fleet;
    private HttpServer upstream;
    private EntryHost first;
    private EntryHost second;
    private EntryHost third;

    @BeforeEach
    void start() throws Exception {
        upstream = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        upstream.createContext("/", this::serve);
        upstream.setExecutor(Executors.newCachedThreadPool());
        upstream.start();
        fleet = new TestFleet();
        first = fleet.startHost("host-1");
        second = fleet.startHost("host-2");
        third = fleet.startHost("host-3");
        fleet.apply(configuration(20, false));
        for (EntryHost host : hosts()) {
            TestFleet.await(
                    "the host joins and has the configuration in force",
                    () -> host.snapshot().isMember()
                            && host.snapshot().activeConfiguration().version() == 1
                            && host.snapshot().isFresh(System.nanoTime())
                            && host.snapshot().roster().members().size() == 3);
        }
    }

    @AfterEach
    void stop() {
        fleet.close();
        upstream.stop(0);
    }

    @Test
    void aLookupIsAnsweredThroughEveryHostAndNoKeyReachesTheUpstream() throws Exception {
        for (EntryHost host : hosts()) {
            HttpResponse<String> response = fleet.get(host, "/telescopes/7", "Authorization", AUTHORIZATION);
            assertEquals(200, response.statusCode(), response.body());
            assertEquals("GET /telescopes/7", response.body());
        }
        assertTrue(leakedKeys.isEmpty(), "keys seen by the upstream: " + leakedKeys);
    }

    @Test
    void aRequestWithoutValidKeyIsRefusedBeforeItReachesAnUpstream() throws Exception {
        assertRefused("key-missing", 401, fleet.get(first, "/telescopes/7"));
        assertRefused("key-unknown", 401, fleet.get(first, "/telescopes/7", "Authorization", "Bearer members-1.wrong"));
        assertRefused("route-unknown", 404, fleet.get(first, "/nowhere", "Authorization", AUTHORIZATION));
        // With two keys, this host might check the first one, and another component the second one.
        assertRefused(
                "malformed-request",
                400,
                fleet.get(first, "/telescopes/7", "Authorization", AUTHORIZATION, "Authorization", "Bearer other.key"));
    }

    @Test
    void aBookingSentAgainThroughAnotherHostRunsOnceAndGetsTheRecordedResponse() throws Exception {
        HttpResponse<String> refused = fleet.post(first, "/bookings", "telescope 7", "Authorization", AUTHORIZATION);
        assertRefused("operation-id-required", 428, refused);
        String operation = refused.headers().firstValue("Operation-Id").orElseThrow();
        HttpResponse<String> booked = book(second, operation);
        HttpResponse<String> again = book(third, operation);
        while (again.statusCode() == 409) {
            // The outcome report may reach the operation's home after the caller has received the response.
            assertEquals(
                    "operation-running",
                    again.headers().firstValue("Auburnhoist-Refusal").orElseThrow());
            again = book(third, operation);
        }
        assertEquals(200, booked.statusCode(), booked.body());
        assertEquals(booked.body(), again.body());
        assertEquals(1, bookingRuns.get());
    }

    @Test
    void aTeamGetsNoMoreThanItsBurstOverAllHostsTogether() throws Exception {
        // At a rate of one token per 1,000 s, only the burst is granted during the test.
        fleet.apply(configuration(0.001, false));
        awaitVersion(2);
        int granted = 0;
        for (int round = 0; round < 20; round++) {
            for (EntryHost host : hosts()) {
                HttpResponse<String> response = fleet.get(host, "/telescopes/7", "Authorization", AUTHORIZATION);
                granted += response.statusCode() == 200 ? 1 : 0;
                assertTrue(response.statusCode() == 200 || response.statusCode() == 429, response.body());
            }
        }
        assertEquals(8, granted);
    }

    @Test
    void aWithdrawnKeyStopsWorkingOnEveryHost() throws Exception {
        fleet.apply(configuration(20, true));
        awaitVersion(2);
        for (EntryHost host : hosts()) {
            assertRefused("key-withdrawn", 401, fleet.get(host, "/telescopes/7", "Authorization", AUTHORIZATION));
        }
    }

    /** A change of the configuration, and the result of a booking that it concerns. */
    private enum Change {
        KEY_WITHDRAWN("withdrawn: false", "withdrawn: true", "key-withdrawn"),
        ROUTE_DROPPED("path: /bookings", "path: /elsewhere", "route-unknown"),
        ROUTE_MOVED("path: /bookings, service: catalogue", "path: /bookings, service: archive", "from archive"),
        TEAM_EXCLUDED(
                "class: booking,\n         callers: every-team",
                "class: booking,\n         callers: [visitors]",
                "team-not-allowed"),
        /** Does not concern the booking. */
        RATE_RAISED("rate-per-second: 20.0", "rate-per-second: 30.0", "POST /bookings run 1");

        final String removed;
        final String added;
        final String result;

        Change(String removed, String added, String result) {
            this.removed = removed;
            this.added = added;
            this.result = result;
        }
    }

    /** A booking whose body ends late would run with a key or a route that is gone, or at the former service. */
    @ParameterizedTest
    @EnumSource
    void aBookingWhoseBodyEndsAfterAChangeIsHandledAsTheChangeSays(Change change) throws Exception {
        HttpServer archive = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        archive.createContext("/", exchange -> respond(exchange, "from archive"));
        archive.start();
        try (RawConnection caller = RawConnection.to(first.callerAddress())) {
            String before = withArchive(configuration(20, false), archive);
            fleet.apply(before);
            awaitVersion(2);
            String operation = fleet.post(first, "/bookings", "telescope 7", "Authorization", AUTHORIZATION)
                    .headers()
                    .firstValue("Operation-Id")
                    .orElseThrow();
            caller.send("POST /bookings HTTP/1.1\r\nHost: fleet\r\nAuthorization: " + AUTHORIZATION
                    + "\r\nOperation-Id: " + operation + "\r\nContent-Length: 2\r\n\r\nh");
            String after = before.replace(change.removed, change.added);
            assertNotEquals(before, after);
            fleet.apply(after);
            awaitVersion(3);
            String head = caller.send("i").readHead();
            String refusal = RawConnection.header(head, "Auburnhoist-Refusal");
            String body = new String(caller.readBody(head), StandardCharsets.UTF_8);
            assertEquals(change.result, refusal == null ? body : refusal, body);
            assertEquals(change == Change.RATE_RAISED ? 1 : 0, bookingRuns.get(), "runs at the former service");
        } finally {
            archive.stop(0);
        }
    }

    private static String withArchive(String configuration, HttpServer archive) {
        String service = "services:\n  archive:\n    slots-per-server: 6\n    connections-per-server: 330\n"
                + "    floor: 0.7\n    profile: cautious\n    servers:\n"
                + "      archive-1: {address: \"127.0.0.1:"
                + archive.getAddress().getPort()
                + "\", data-centre: hall-1}\n";
        return configuration
                .replace("teams:\n", "teams:\n  visitors: {rate-per-second: 1, burst: 1, weight: 1}\n")
                .replace("services:\n", service);
    }

    @Test
    void hostsKeepServingWhileTheStoreIsUnavailable() throws Exception {
        fleet.storeEmulator().refuseConnections();
        for (EntryHost host : hosts()) {
            long freshUntil = host.snapshot().freshUntilNanos();
            TestFleet.await(
                    "freshness advances without the store",
                    () -> host.snapshot().freshUntilNanos() > freshUntil
                            && host.snapshot().freshUntilNanos() - System.nanoTime() > 0);
            assertEquals(
                    200,
                    fleet.get(host, "/telescopes/7", "Authorization", AUTHORIZATION)
                            .statusCode());
        }
    }

    @Test
    void aStoreThatLostItsDataNeitherKeepsAHostFreshNorRevertsItsDocuments() throws Exception {
        fleet.deleteDocuments();
        second.close();
        third.close();
        TestFleet.await(
                "the remaining host has no quorum", () -> !first.snapshot().isFresh(System.nanoTime()));
        assertRefused("host-isolated", 503, fleet.get(first, "/telescopes/7", "Authorization", AUTHORIZATION));
        assertEquals(1, first.snapshot().activeConfiguration().version());
        assertEquals(3, first.snapshot().roster().members().size());
    }

    @Test
    void aGracefulShutdownRemovesTheHostFromTheAddressesAndTheRoster() throws Exception {
        third.stop().get(60, TimeUnit.SECONDS);
        TestFleet.await(
                "the roster has two members",
                () -> first.snapshot().roster().members().size() == 2);
        HttpResponse<String> addresses = fleet.get(first, "/.auburnhoist/addresses");
        assertEquals(200, addresses.statusCode());
        assertFalse(addresses.body().contains("host-3"), addresses.body());
        assertEquals(
                200,
                fleet.get(first, "/telescopes/7", "Authorization", AUTHORIZATION)
                        .statusCode());
    }

    /** Guards against requests that a stopping host cuts without an answer, or accepts while it waits for others. */
    @Test
    void aStoppingHostAnswersWhatItHasReadAndRefusesWhatComesLater() throws Exception {
        EntryHost fourth =
                fleet.startHost("host-4", fleet.openStore(), settings -> settings.stopLimit(Duration.ofMillis(1_500)));
        TestFleet.await(
                "host-4 serves",
                () -> fourth.snapshot().isFresh(System.nanoTime())
                        && fourth.snapshot().activeConfiguration().version() == 1);
        String lookup = " HTTP/1.1\r\nHost: fleet\r\nAuthorization: " + AUTHORIZATION + "\r\n\r\n";
        try (RawConnection slow = RawConnection.to(fourth.callerAddress());
                RawConnection kept = RawConnection.to(fourth.callerAddress())) {
            kept.send("GET /telescopes/7" + lookup);
            kept.readBody(kept.readHead());
            slow.send("GET /telescopes/slow" + lookup);
            var stopped = fourth.stop();
            // Later than the validity of the addresses that name the host, and before its stop limit.
            Thread.sleep(1_000);
            assertEquals("host-stopping", refusal(kept.send("GET /telescopes/7" + lookup)));
            assertEquals("upstream-timeout", refusal(slow));
            stopped.get(60, TimeUnit.SECONDS);
        }
    }

    private static String refusal(RawConnection caller) throws IOException {
        String head = caller.readHead();
        return head == null ? "no answer" : RawConnection.header(head, "Auburnhoist-Refusal");
    }

    @Test
    void aHostThatThePlatformsListMarksAsLeavingIsNotListedButStillServes() throws Exception {
        fleet.hostList().publish(List.of(new HostList.ListedHost("host-3", "dc-2", HostList.HostState.LEAVING)));
        for (EntryHost host : hosts()) {
            TestFleet.await("host-3 is not listed", () -> addresses(host).equals(List.of("host-1", "host-2")));
        }
        assertEquals(
                200,
                fleet.get(third, "/telescopes/7", "Authorization", AUTHORIZATION)
                        .statusCode());
        fleet.hostList().publish(List.of(new HostList.ListedHost("host-3", "dc-2", HostList.HostState.LIVE)));
        TestFleet.await("host-3 is listed again", () -> addresses(first).contains("host-3"));
    }

    private List<String> addresses(EntryHost host) {
        try {
            String body = fleet.get(host, "/.auburnhoist/addresses").body();
            return Stream.of("host-1", "host-2", "host-3")
                    .filter(name -> body.contains("\"" + name + "\""))
                    .toList();
        } catch (Exception failed) {
            throw new AssertionError(failed);
        }
    }

    private HttpResponse<String> book(EntryHost host, String operation) throws Exception {
        return fleet.post(host, "/bookings", "telescope 7", "Authorization", AUTHORIZATION, "Operation-Id", operation);
    }

    private void awaitVersion(long version) throws Exception {
        for (EntryHost host : hosts()) {
            TestFleet.await(
                    "version " + version + " in force",
                    () -> host.snapshot().activeConfiguration().version() == version);
        }
    }

    private List<EntryHost> hosts() {
        return List.of(first, second, third);
    }

    private static void assertRefused(String code, int status, HttpResponse<String> response) {
        assertEquals(code, response.headers().firstValue("Auburnhoist-Refusal").orElse("none"), response.body());
        assertEquals(status, response.statusCode());
        assertEquals(
                "not-run", response.headers().firstValue("Auburnhoist-Outcome").orElseThrow());
    }

    private void serve(HttpExchange exchange) throws IOException {
        if (exchange.getRequestHeaders().containsKey("Authorization")) {
            leakedKeys.add(exchange.getRequestHeaders().getFirst("Authorization"));
        }
        exchange.getRequestBody().readAllBytes();
        if (exchange.getRequestURI().getPath().endsWith("/slow")) {
            LockSupport.parkNanos(SLOW_WORK.toNanos());
        }
        boolean booking = exchange.getRequestMethod().equals("POST");
        String run = booking ? " run " + bookingRuns.incrementAndGet() : "";
        respond(exchange, exchange.getRequestMethod() + " " + exchange.getRequestURI() + run);
    }

    private static void respond(HttpExchange exchange, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private String configuration(double rate, boolean withdrawn) throws Exception {
        return """
                teams:
                  members: {rate-per-second: %s, burst: 8, weight: 1}
                keys:
                  members-1: {team: members, secret-sha256: "%s", withdrawn: %s}
                services:
                  catalogue:
                    slots-per-server: 6
                    connections-per-server: 330
                    floor: 0.7
                    profile: cautious
                    servers:
                      catalogue-1: {address: "127.0.0.1:%d", data-centre: hall-1}
                routes:
                  search: {methods: [GET], path: /telescopes, service: catalogue, class: lookup,
                           callers: every-team, timeout: 10s}
                  book: {methods: [POST], path: /bookings, service: catalogue, class: booking,
                         callers: every-team, timeout: 10s}
                """.formatted(
                        rate,
                        TestFleet.hashOf(TestFleet.KEY),
                        withdrawn,
                        upstream.getAddress().getPort());
    }
}
