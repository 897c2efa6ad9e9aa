package org.auburnhoist.emulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against faults of the emulator that would hide faults of the proxy: a duplicate execution or a leaked key that
 * it does not count would go unnoticed in every test that relies on its counts.
 */
class UpstreamEmulatorTest {
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private UpstreamEmulator emulator;

    @BeforeEach
    void start() throws IOException {
        ServiceTime serviceTime = new ServiceTime(Duration.ofMillis(1), 0.5);
        emulator = UpstreamEmulator.builder()
                .seed(7)
                .server(UpstreamSpec.of("ledger", "ledger-1", 1, 50, serviceTime)
                        .withQueueLimit(1))
                .server(UpstreamSpec.of("ledger", "ledger-2", 4, 50, serviceTime)
                        .withCrashDowntime(Duration.ofMillis(50)))
                .start();
    }

    @AfterEach
    void stop() {
        emulator.close();
    }

    @Test
    void responseDescribesTheRequest() throws Exception {
        HttpResponse<String> response = get("ledger-1", "/items/3", "Operation-Id", "op-9");
        assertEquals(200, response.statusCode());
        assertEquals(
                "{\"server\":\"ledger-1\",\"service\":\"ledger\",\"method\":\"GET\",\"path\":\"/items/3\","
                        + "\"operationId\":\"op-9\",\"run\":1}",
                response.body());
        assertEquals("op-9", response.headers().firstValue("Operation-Id").orElseThrow());
    }

    @Test
    void duplicateExecutionAndLeakedKeyAreCounted() throws Exception {
        get("ledger-1", "/book", "Operation-Id", "once");
        get("ledger-1", "/book", "Operation-Id", "twice");
        get("ledger-2", "/book", "Operation-Id", "twice", "Authorization", "Bearer key.secret");
        assertEquals(Set.of("twice"), emulator.runCounts().duplicates());
        assertEquals(1, emulator.runCounts().runsOf("once"));
        assertEquals(1, emulator.runCounts().authorizationHeaders());
        assertEquals(
                "{\"runs\":3,\"operations\":2,\"authorizationHeaders\":1,\"cancelled\":0,\"shed\":0,"
                        + "\"duplicates\":[\"twice\"]}",
                get("ledger-1", "/admin/ledger").body());
    }

    @Test
    void failsRequestsWhileReportingHealthy() throws Exception {
        emulator.server("ledger-1").setGrayMode(new GrayMode.FailShare(1));
        assertEquals(500, get("ledger-1", "/items").statusCode());
        assertEquals(200, get("ledger-1", "/health").statusCode());
        emulator.server("ledger-1").setGrayMode(new GrayMode.Healthy());
        assertEquals(200, get("ledger-1", "/items").statusCode());
        emulator.server("ledger-1").setReportedHealth(false);
        assertEquals(503, get("ledger-1", "/health").statusCode());
        emulator.server("ledger-1").setReportedLoad(42);
        assertTrue(get("ledger-1", "/load").body().contains("\"running\":42"));
    }

    @Test
    void truncatedBodyBreaksTheConnection() throws Exception {
        emulator.server("ledger-1").setGrayMode(new GrayMode.TruncateBody(1));
        assertThrows(IOException.class, () -> get("ledger-1", "/items"));
        emulator.server("ledger-1").setGrayMode(new GrayMode.Healthy());
        assertEquals(200, get("ledger-1", "/items").statusCode());
    }

    @Test
    void fullQueueShedsAndCancellationFreesTheSlot() throws Exception {
        emulator.server("ledger-1").setGrayMode(new GrayMode.NeverAnswer(1));
        URI address = URI.create("http://" + emulator.server("ledger-1").address());
        Socket unanswered = new Socket(address.getHost(), address.getPort());
        unanswered
                .getOutputStream()
                .write("GET /unanswered HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        while (emulator.runCounts().totalRuns() < 1) {
            Thread.onSpinWait();
        }
        emulator.server("ledger-1").setGrayMode(new GrayMode.Healthy());
        CompletableFuture<HttpResponse<String>> queued = send("ledger-1", "/queued");
        while (!get("ledger-1", "/load").body().contains("\"queued\":1")) {
            Thread.onSpinWait();
        }
        HttpResponse<String> shed = get("ledger-1", "/shed");
        assertEquals(503, shed.statusCode());
        assertEquals("1", shed.headers().firstValue("Retry-After").orElseThrow());
        unanswered.close();
        assertEquals(200, queued.get().statusCode());
        assertEquals(1, emulator.runCounts().cancelled());
        assertEquals(1, emulator.runCounts().shed());
    }

    @Test
    void requestEndsAtItsDeadlineAndDrainingServerRefusesRequests() throws Exception {
        assertEquals(
                504,
                get("ledger-1", "/slow?workMillis=3600000", "Auburnhoist-Deadline-Millis", "5")
                        .statusCode());
        emulator.server("ledger-1").setDraining(true);
        assertEquals(503, get("ledger-1", "/items").statusCode());
        assertEquals(503, get("ledger-1", "/health").statusCode());
    }

    @Test
    void crashResetsAllConnectionsAndTheServerRestarts() throws Exception {
        emulator.server("ledger-2").setGrayMode(new GrayMode.NeverAnswer(1));
        CompletableFuture<HttpResponse<String>> concurrent = send("ledger-2", "/concurrent");
        while (emulator.runCounts().totalRuns() < 1) {
            Thread.onSpinWait();
        }
        assertThrows(IOException.class, () -> get("ledger-2", "/crash-upstream", "Operation-Id", "poison"));
        assertThrows(Exception.class, concurrent::get);
        assertEquals(1, emulator.runCounts().runsOf("poison"));
        emulator.server("ledger-2").setGrayMode(new GrayMode.Healthy());
        boolean restarted = false;
        while (!restarted) {
            try {
                restarted = get("ledger-2", "/health").statusCode() == 200;
            } catch (IOException stillDown) {
                Thread.sleep(5);
            }
        }
        assertEquals(200, get("ledger-2", "/items").statusCode());
    }

    @Test
    void downloadResumesByRangeWhileItsEntityTagMatches() throws Exception {
        String path = "/charts/1?size=100000";
        HttpResponse<byte[]> whole = client.send(request("ledger-1", path).build(), BodyHandlers.ofByteArray());
        assertEquals(100_000, whole.body().length);
        String entityTag = whole.headers().firstValue("ETag").orElseThrow();
        HttpResponse<byte[]> rest = client.send(
                request("ledger-1", path, "Range", "bytes=99000-", "If-Range", entityTag)
                        .build(),
                BodyHandlers.ofByteArray());
        assertEquals(206, rest.statusCode());
        assertArrayEquals(Arrays.copyOfRange(whole.body(), 99_000, 100_000), rest.body());
        assertEquals(
                200,
                get("ledger-1", path, "Range", "bytes=5-", "If-Range", "\"other\"")
                        .statusCode());
    }

    @Test
    void unresponsiveServerAcceptsRequestsAndNeverAnswers() throws Exception {
        emulator.server("ledger-1").setUnresponsive(true);
        HttpRequest request =
                request("ledger-1", "/health").timeout(Duration.ofMillis(100)).build();
        assertThrows(IOException.class, () -> client.send(request, BodyHandlers.ofString()));
        emulator.server("ledger-1").setUnresponsive(false);
        assertFalse(get("ledger-1", "/health").body().isEmpty());
    }

    private HttpResponse<String> get(String server, String path, String... headers) throws Exception {
        return client.send(request(server, path, headers).build(), BodyHandlers.ofString());
    }

    private CompletableFuture<HttpResponse<String>> send(String server, String path) {
        return client.sendAsync(request(server, path).build(), BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String server, String path, String... headers) {
        URI address = URI.create("http://" + emulator.server(server).address() + path);
        HttpRequest.Builder builder = HttpRequest.newBuilder(address);
        return headers.length == 0 ? builder : builder.headers(headers);
    }
}
