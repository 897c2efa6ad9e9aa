package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.auburnhoist.core.dispatch.FloorSettings;
import org.auburnhoist.core.dispatch.RetryBudgetSettings;
import org.auburnhoist.core.limit.FallbackLimiter;
import org.auburnhoist.gateway.GatewaySettings;
import org.auburnhoist.support.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against faults of the request path on the platform, with several hosts and fakes of the platform's parts. */
class PlatformHostTest {
    private static final String PAY = "pay.example";
    private static final String LOOK = "look.example";

    private final Closer closer = new Closer();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<GatewaySettings> hosts = new ArrayList<>();
    private final List<PlatformHost> running = new ArrayList<>();
    private final AtomicInteger attempts = new AtomicInteger();
    private FakeKvStore store;
    private FakeUpstreamServer first;
    private FakeUpstreamServer second;

    @BeforeEach
    void start() throws Exception {
        // The HTTP client sets Host itself unless this property lets the test do so.
        assertEquals("host", System.getProperty("jdk.httpclient.allowRestrictedHeaders"));
        store = closer.register(new FakeKvStore());
        first = closer.register(new FakeUpstreamServer("i-1"));
        second = closer.register(new FakeUpstreamServer("i-2"));
        store.put("op/config", configuration(4, "k1", 1_000));
        store.put("servers/i-1", first.registration("ledger", "ready"));
        store.put("servers/i-2", second.registration("ledger", "ready"));
        store.put("servers/i-9", "of another writer");
        store.takeCopy();
        for (int number = 1; number <= 3; number++) {
            GatewaySettings settings = settings("host-" + number);
            hosts.add(settings);
            running.add(PlatformHost.start(new BootFile(settings, store.address())));
        }
        await(() -> hosts.stream().allMatch(host -> addresses(host).size() == 3), "all hosts accept callers");
        // The owner of a limit becomes active only after every other host has learned of it.
        Thread.sleep(3_000);
    }

    @AfterEach
    void stop() {
        running.forEach(PlatformHost::close);
        threads.shutdownNow();
        closer.close();
    }

    static String configuration(long version, String key, int rate) {
        return "{\"version\":\"r" + version + "\",\"routes\":["
                + "{\"name\":\"pay\",\"host\":\"" + PAY + "\",\"path_prefix\":\"/\",\"kind\":\"unsafe\","
                + "\"timeout_ms\":2000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"ledger\","
                + "\"max_attempts\":2,\"auth_exempt\":false},"
                + "{\"name\":\"look\",\"host\":\"" + LOOK + "\",\"path_prefix\":\"/open/\",\"kind\":\"safe\","
                + "\"timeout_ms\":2000,\"target_latency_ms\":800,\"priority\":2,\"service\":\"ledger\","
                + "\"max_attempts\":2,\"auth_exempt\":true}],"
                + "\"services\":[{\"name\":\"ledger\"}],"
                + "\"tenants\":[{\"name\":\"members\",\"api_keys\":[\"" + key + "\"],\"priority\":0,\"rate_per_s\":"
                + rate + ",\"burst_size\":" + rate + "}]}";
    }

    static GatewaySettings settings(String name) throws Exception {
        return new GatewaySettings(
                name,
                "a",
                0.6,
                freeAddress(),
                freeAddress(),
                freeAddress(),
                freeAddress(),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                new FallbackLimiter.Tolerance(5, 0.1, 20),
                new RetryBudgetSettings(0.2, 60),
                new FloorSettings(0.7, Duration.ofSeconds(6)),
                1_000,
                true);
    }

    /** Picks a port below the ephemeral range, from which an outgoing connection could take it before it is used. */
    static InetSocketAddress freeAddress() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
            } catch (IOException taken) {
                // Try another port.
            }
        }
    }

    private static void await(BooleanSupplier condition, String description) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - end < 0, "timed out: " + description);
            Thread.sleep(20);
        }
    }

    private HttpResponse<String> get(InetSocketAddress address, String path, String host, String... headers) {
        return send(address, "GET", path, host, headers);
    }

    private HttpResponse<String> send(
            InetSocketAddress address, String method, String path, String host, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                .method(method, HttpRequest.BodyPublishers.noBody())
                .header("Host", host)
                .header("X-Attempt-Id", "a-" + attempts.incrementAndGet())
                .header("X-Deadline-Remaining", "1500");
        if (headers.length > 0) {
            builder.headers(headers);
        }
        try {
            return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(cause);
        }
    }

    private List<String> addresses(GatewaySettings host) {
        HttpResponse<String> response = get(host.directoryAddress(), "/api/resolve?name=x&zone=a", "x");
        List<String> found = new ArrayList<>();
        if (response.statusCode() == 200) {
            Matcher matcher = Pattern.compile("127\\.0\\.0\\.1:\\d+").matcher(response.body());
            while (matcher.find()) {
                found.add(matcher.group());
            }
        }
        return found;
    }

    private HttpResponse<String> pay(GatewaySettings host, String key) {
        return send(host.callerAddress(), "POST", "/bill/7?x=1", PAY, "Authorization", "Token " + key);
    }

    @Test
    void aRequestIsServedForTheTeamOfItsKey() {
        HttpResponse<String> response = pay(hosts.get(0), "k1");
        assertEquals(200, response.statusCode());
        assertTrue(
                response.headers().firstValue("X-Response-Signature").orElse("").startsWith("s-i-"));
        List<Map<String, String>> received = new ArrayList<>(first.requests());
        received.addAll(second.requests());
        Map<String, String> request = received.get(received.size() - 1);
        assertEquals("members", request.get("x-tenant"));
        assertNull(request.get("authorization"));
        assertEquals("/bill/7?x=1", request.get(":path"));
        assertTrue(Integer.parseInt(request.get("x-deadline-remaining")) <= 1500);
        assertEquals(401, pay(hosts.get(1), "another").statusCode());
        assertEquals(404, get(hosts.get(1).callerAddress(), "/elsewhere", LOOK).statusCode());
        assertEquals(200, get(hosts.get(2).callerAddress(), "/open/a", LOOK).statusCode());
        assertEquals(
                200, get(hosts.get(2).readinessAddress(), "/api/readiness", "x").statusCode());
    }

    @Test
    void aPaymentIsRetriedOnlyIfTheServerStatesThatItDidNotRun() {
        first.mode(FakeUpstreamServer.Mode.NOT_EXECUTED);
        for (int request = 0; request < 6; request++) {
            assertEquals(200, pay(hosts.get(request % 3), "k1").statusCode());
        }
        second.mode(FakeUpstreamServer.Mode.OUTCOME_UNKNOWN);
        first.mode(FakeUpstreamServer.Mode.OUTCOME_UNKNOWN);
        int before = first.requests().size() + second.requests().size();
        HttpResponse<String> unclear = pay(hosts.get(0), "k1");
        assertEquals(502, unclear.statusCode());
        assertTrue(unclear.headers().firstValue("X-Response-Signature").isEmpty());
        assertEquals(before + 1, first.requests().size() + second.requests().size());
    }

    @Test
    void aRequestRejectedByAllServersGetsANotRunStatus() {
        first.mode(FakeUpstreamServer.Mode.NOT_EXECUTED);
        second.mode(FakeUpstreamServer.Mode.NOT_EXECUTED);
        HttpResponse<String> rejected = pay(hosts.get(0), "k1");
        assertEquals(503, rejected.statusCode());
        assertTrue(rejected.headers().firstValue("Retry-After").isPresent());
    }

    /**
     * Guards against the promise that a request has not run, and against a second run, if a faulty server writes an
     * earlier refusal once more while it runs the request.
     */
    @ParameterizedTest
    @EnumSource(names = {"REPEATED_REFUSAL", "REPEATED_REFUSAL_WITHOUT_ID"})
    void aRepeatedRefusalStatesNothingAboutThisRequest(FakeUpstreamServer.Mode mode) {
        assertEquals(200, pay(hosts.get(0), "k1").statusCode());
        first.mode(mode);
        second.mode(mode);
        int before = first.requests().size() + second.requests().size();
        assertEquals(502, pay(hosts.get(0), "k1").statusCode());
        assertEquals(before + 1, first.requests().size() + second.requests().size(), "runs of the request");
    }

    /** Guards against hosts that end or stop following the list because of one odd entry of another writer. */
    @Test
    void hostsFollowTheListBesideOddEntries() throws Exception {
        String registration = first.registration("ledger", "ready");
        store.put("servers/i-3", "[".repeat(100_000));
        store.put("servers/i-4", registration.replace("\"slots\":2", "\"slots\":" + "9".repeat(5_000)));
        store.put("servers/i-5", registration.replaceFirst("127\\.0\\.0\\.1:[0-9]+", "127.0.0.1:70000"));
        store.put("servers/i-6", registration.replace("\"born\":5", "\"born\":1e999"));
        store.put("servers/i-1", first.registration("ledger", "draining"));
        Thread.sleep(2_000);
        int before = first.requests().size();
        for (int request = 0; request < 12; request++) {
            assertEquals(200, pay(hosts.get(request % 3), "k1").statusCode());
        }
        assertEquals(before, first.requests().size(), "requests to the leaving server");
    }

    @Test
    void aResponseToAnotherAttemptIsNeverForwarded() {
        first.mode(FakeUpstreamServer.Mode.WRONG_ATTEMPT_ID);
        second.mode(FakeUpstreamServer.Mode.WRONG_ATTEMPT_ID);
        HttpResponse<String> response = pay(hosts.get(0), "k1");
        assertEquals(502, response.statusCode());
        assertFalse(response.body().contains("from i-"));
    }

    @Test
    void aChangeAppliesOnEveryHostAndAWithdrawnKeyStopsWorking() throws Exception {
        store.put("op/config", configuration(9, "k2", 1_000));
        await(
                () -> hosts.stream().allMatch(host -> pay(host, "k2").statusCode() == 200),
                "the new key works everywhere");
        hosts.forEach(host -> assertEquals(401, pay(host, "k1").statusCode()));
        store.put("op/config", configuration(8, "k1", 1_000));
        Thread.sleep(1_500);
        hosts.forEach(host -> assertEquals(401, pay(host, "k1").statusCode(), "an older version is never applied"));
    }

    /**
     * Guards against a fleet that falls apart after the store was restored: two hosts renew one lease that was given
     * out again, or a host that starts later creates another secret, which the running hosts do not accept.
     */
    @Test
    void hostsRegisterAgainAfterTheStoreWasRestored() throws Exception {
        String secret = store.value("auburnhoist/secret");
        store.restoreCopy();
        assertEquals("", store.value("auburnhoist/secret"), "the copy is older than the secret");
        await(() -> store.leases("auburnhoist/hosts/").size() == 3, "all hosts are registered again");
        await(() -> new HashSet<>(store.leases("auburnhoist/hosts/")).size() == 3, "each host has its own lease");
        await(() -> secret.equals(store.value("auburnhoist/secret")), "the secret is back");
        hosts.forEach(host -> assertEquals(200, pay(host, "k1").statusCode()));
        hosts.forEach(host -> assertEquals(3, addresses(host).size()));
    }

    @Test
    void theTeamsLimitHoldsOverAllHosts() throws Exception {
        store.put("op/config", configuration(9, "k1", 4));
        await(() -> pay(hosts.get(0), "k1").statusCode() == 429, "the lower limit is in force");
        Thread.sleep(6_000);
        int served = 0;
        long start = System.nanoTime();
        for (int request = 0; request < 90; request++) {
            // Ninety requests spread over one window of five seconds.
            long due = start + request * Duration.ofSeconds(5).toNanos() / 90;
            Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000L));
            served += pay(hosts.get(request % 3), "k1").statusCode() == 200 ? 1 : 0;
        }
        assertTrue(served >= 20 && served <= 46, "served " + served + " in one window, limit 24 and tolerance");
    }

    @Test
    void aLeavingServerGetsNoMoreRequests() throws Exception {
        store.put("servers/i-1", first.registration("ledger", "draining"));
        Thread.sleep(2_000);
        int before = first.requests().size();
        for (int request = 0; request < 12; request++) {
            assertEquals(200, pay(hosts.get(request % 3), "k1").statusCode());
        }
        assertEquals(before, first.requests().size());
    }

    @Test
    void requestsAreServedWhileTheStoreIsUnavailableAndLeasesExpire() throws Exception {
        store.failWith(503);
        store.expireAllLeases();
        Thread.sleep(2_500);
        for (int request = 0; request < 12; request++) {
            assertEquals(200, pay(hosts.get(request % 3), "k1").statusCode());
        }
        store.failWith(0);
        await(() -> hosts.stream().allMatch(host -> addresses(host).size() == 3), "all hosts are back");
    }

    @Test
    void theFleetServesWithoutAFailedHostAndReadmitsItUnderItsName() throws Exception {
        running.get(0).close();
        await(() -> addresses(hosts.get(1)).size() == 2, "the failed host is no longer listed");
        for (int request = 0; request < 10; request++) {
            assertEquals(200, pay(hosts.get(1 + request % 2), "k1").statusCode());
        }
        running.set(0, PlatformHost.start(new BootFile(hosts.get(0), store.address())));
        await(() -> addresses(hosts.get(1)).size() == 3, "the host is back");
        await(() -> pay(hosts.get(0), "k1").statusCode() == 200, "the host serves again");
    }

    @Test
    void aPlannedStopInterruptsNoRequestAndIsAnnouncedAtOnce() throws Exception {
        var stopped = running.get(2).stop();
        await(() -> get(hosts.get(2).readinessAddress(), "/api/readiness", "x").statusCode() == 503, "not ready");
        assertEquals(200, pay(hosts.get(2), "k1").statusCode(), "late callers are still served");
        await(() -> addresses(hosts.get(0)).size() == 2, "the stopping host is no longer listed");
        stopped.join();
    }

    /** Guards against bookings that a stopping host takes on kept connections, passes on, and cuts when it ends. */
    @Test
    void bookingsOnKeptConnectionsAreAnsweredOrRefusedUntilTheHostHasStopped() throws Exception {
        List<KeptConnection> callers = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            callers.add(closer.register(new KeptConnection(hosts.get(2).callerAddress(), "kept-" + number)));
        }
        first.workMillis(250);
        second.workMillis(250);
        PlatformHost stopping = running.get(2);
        var stopped = stopping.stop().thenRun(stopping::close);
        List<CompletableFuture<Integer>> statuses = new ArrayList<>();
        for (KeptConnection caller : callers) {
            Thread.sleep(60);
            statuses.add(CompletableFuture.supplyAsync(caller::pay, threads));
        }
        stopped.join();
        Map<Integer, Integer> counts = new TreeMap<>();
        for (int number = 0; number < callers.size(); number++) {
            int status = statuses.get(number).join();
            counts.merge(status, 1, Integer::sum);
            String attempt = callers.get(number).lastAttempt();
            boolean ran = first.hasRun(attempt) || second.hasRun(attempt);
            assertEquals(status == 200, ran, "attempt " + attempt + " has run, status " + status + " of " + counts);
        }
        assertTrue(counts.getOrDefault(200, 0) >= 5 && counts.getOrDefault(503, 0) >= 5, "statuses " + counts);
    }

    /** Guards against requests to a server that has announced its shutdown in a response but not in the store. */
    @Test
    void aServerThatAnnouncesItsShutdownGetsNoMoreRequestsFromTheNotifiedHost() throws Exception {
        first.mode(FakeUpstreamServer.Mode.LEAVING);
        await(
                () -> {
                    HttpResponse<String> response = pay(hosts.get(0), "k1");
                    assertTrue(response.headers().firstValue("Server-Leaving").isEmpty());
                    return response.body().equals("from i-1");
                },
                "the first server has responded");
        int before = first.requests().size();
        store.failWith(503);
        for (int request = 0; request < 20; request++) {
            HttpResponse<String> response = pay(hosts.get(0), "k1");
            assertEquals("from i-2", response.body());
            assertTrue(response.headers().firstValue("Server-Leaving").isEmpty());
        }
        store.failWith(0);
        assertEquals(before, first.requests().size());
        first.mode(FakeUpstreamServer.Mode.HEALTHY);
        store.put("servers/i-1", first.registration("ledger", "ready").replace("\"born\":5", "\"born\":77"));
        await(() -> pay(hosts.get(0), "k1").body().equals("from i-1"), "the new incarnation of the server is used");
    }

    /** Guards against requests during a pause that a server has asked for, and against callers that wait for it. */
    @Test
    void aPausedServerGetsNoRequestsAndTheCallerLearnsWhenThePauseEnds() {
        first.mode(FakeUpstreamServer.Mode.PAUSING);
        second.mode(FakeUpstreamServer.Mode.PAUSING);
        assertEquals(503, pay(hosts.get(0), "k1").statusCode());
        int before = first.requests().size() + second.requests().size();
        assertEquals(2, before, "each server has rejected the request once");
        for (int request = 0; request < 10; request++) {
            long start = System.nanoTime();
            HttpResponse<String> rejected = pay(hosts.get(0), "k1");
            assertEquals(503, rejected.statusCode());
            double seconds = Double.parseDouble(
                    rejected.headers().firstValue("Retry-After").orElseThrow());
            assertTrue(seconds > 0 && seconds <= FakeUpstreamServer.PAUSE_SECONDS, "Retry-After: " + seconds);
            assertTrue(System.nanoTime() - start < Duration.ofMillis(700).toNanos(), "refused at once");
        }
        assertEquals(before, first.requests().size() + second.requests().size());
    }

    /** Guards against more requests to a server than the limit that it has named, summed over all hosts. */
    @Test
    void aServerThatNamesALimitGetsNoMoreRequestsFromAllHostsTogether() throws Exception {
        first.limit("1.5");
        second.limit("1.5");
        for (int request = 0; request < 6; request++) {
            HttpResponse<String> response = pay(hosts.get(request % 3), "k1");
            assertTrue(response.headers().firstValue("Server-Limit").isEmpty());
        }
        Thread.sleep(1_000);
        int firstBefore = first.requests().size();
        int secondBefore = second.requests().size();
        long end = System.nanoTime() + Duration.ofSeconds(4).toNanos();
        for (int request = 0; System.nanoTime() - end < 0; request++) {
            pay(hosts.get(request % 3), "k1");
        }
        for (int received :
                List.of(first.requests().size() - firstBefore, second.requests().size() - secondBefore)) {
            assertTrue(received >= 4 && received <= 14, "requests in four seconds: " + received);
        }
        first.limit("");
        await(() -> pay(hosts.get(0), "k1").statusCode() == 200, "a request is served");
        await(
                () -> pay(hosts.get(0), "k1").statusCode() == 200
                        && pay(hosts.get(1), "k1").statusCode() == 200
                        && pay(hosts.get(2), "k1").statusCode() == 200,
                "the limit is withdrawn on all hosts");
    }
}
