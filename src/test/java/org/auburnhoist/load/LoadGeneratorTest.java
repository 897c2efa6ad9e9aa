package org.auburnhoist.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.load.RequestResult.Ending;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a load that waits for answers, and against callers that violate the client protocol. */
class LoadGeneratorTest {
    private static final int REQUESTS = 40;
    private static final TeamLoad TEAM = ArrivalsTest.team("schools", 100);

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CountDownLatch arrived = new CountDownLatch(REQUESTS);
    private final LoadLog log = new LoadLog(List.of(TEAM), 1);
    private HttpServer server;
    private String address;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(threads);
        address = "127.0.0.1:" + server.getAddress().getPort();
        String list = "{\"validForSeconds\":10,\"addresses\":[{\"address\":\"" + address + "\"}]}";
        server.createContext("/.auburnhoist/addresses", exchange -> answer(exchange, 200, list));
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop(0);
        threads.shutdownNow();
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void run(int requests) throws InterruptedException {
        try (LoadGenerator generator =
                new LoadGenerator(List.of(TEAM), log, AnswerChecker.FRAMING_ONLY, () -> List.of(address))) {
            generator.run(IntStream.range(0, requests)
                    .mapToObj(number -> new LoadRequest(
                            number, number * 1_000_000L, TEAM, TrafficClass.LOOKUP, "/work?n=" + number, -1))
                    .toList());
        }
    }

    @Test
    void sendsWithoutWaitingForEarlierAnswers() throws InterruptedException {
        // No request is answered before all have arrived; this blocks if the generator waits for an earlier answer.
        server.createContext("/work", exchange -> {
            arrived.countDown();
            try {
                arrived.await();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            answer(exchange, 200, "{}");
        });
        run(REQUESTS);
        assertEquals(REQUESTS, log.count(Ending.GOOD));
    }

    @Test
    void honoursRetryAfterOnce() throws InterruptedException {
        server.createContext("/work", exchange -> {
            arrived.countDown();
            exchange.getResponseHeaders().add("Retry-After", "0");
            exchange.getResponseHeaders().add("Auburnhoist-Refusal", "rate-exceeded");
            answer(exchange, 429, "{}");
        });
        run(1);
        assertEquals(1, log.count(Ending.REFUSED));
        assertEquals(REQUESTS - 2, arrived.getCount());
    }
}
