package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against responses delivered to the wrong request when faults of servers and callers coincide on shared
 * connections.
 */
@Timeout(120)
class ResponseMatchingTest {
    private static final int CALLERS = 8;
    private static final int REQUESTS = 150;
    private static final long SEED = 20261204;

    private final List<TestForwarding> forwardings = new CopyOnWriteArrayList<>();
    private final ConcurrentHashMap<String, AtomicInteger> bookingRuns = new ConcurrentHashMap<>();

    /** Checks that no response reaches another request and that no booking runs twice. */
    @Test
    void everyCompleteResponseBelongsToItsRequest() throws Exception {
        try (RawUpstream one = new RawUpstream(this::serve);
                RawUpstream two = new RawUpstream(this::serve)) {
            ProxyServer proxy = ProxyServer.start(ProxySettings.builder().build(), (head, now) -> {
                boolean booking = head.method().equals("POST");
                TestForwarding forwarding = new TestForwarding(
                        booking ? TrafficClass.BOOKING : TrafficClass.LOOKUP,
                        Duration.ofMillis(300),
                        one.address(),
                        two.address());
                forwardings.add(forwarding.connectionLimit(3));
                return CompletableFuture.completedFuture(new Admission.Forwarded(forwarding));
            });
            var executor = Executors.newFixedThreadPool(CALLERS);
            List<Future<Integer>> results = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = caller;
                results.add(executor.submit(() -> call(proxy, number)));
            }
            int complete = 0;
            for (Future<Integer> result : results) {
                complete += result.get(100, TimeUnit.SECONDS);
            }
            executor.shutdown();
            assertTrue(proxy.close(Duration.ofSeconds(60)));
            assertTrue(complete > CALLERS * REQUESTS / 2, "complete responses: " + complete);
            for (TestForwarding forwarding : forwardings) {
                forwarding.awaitFinish();
                assertTrue(forwarding.attempts.stream()
                        .noneMatch(attempt -> attempt.outcome() == AttemptOutcome.CONNECT_FAILED));
            }
            bookingRuns.forEach((path, runs) -> assertEquals(1, runs.get(), path));
        }
    }

    private int call(ProxyServer proxy, int number) throws IOException {
        Random random = new Random(SEED + number);
        int complete = 0;
        RawConnection connection = RawConnection.to(proxy.address());
        for (int count = 0; count < REQUESTS; count++) {
            String path = "/" + number + "/" + count + "/" + random.nextInt(100);
            String method = random.nextInt(3) == 0 ? "POST " : "GET ";
            try {
                connection.send(method + path + " HTTP/1.1\r\nHost: fleet\r\nX-Path: " + path + "\r\n\r\n");
                if (random.nextInt(20) == 0) {
                    throw new IOException("this caller disconnects");
                }
                String response = connection.readMessage();
                if (response.startsWith("HTTP/1.1 200")) {
                    assertTrue(response.endsWith("\r\n\r\n" + path), response + " for " + path);
                    complete++;
                }
            } catch (IOException broken) {
                connection.reset();
                connection = RawConnection.to(proxy.address());
            }
        }
        connection.close();
        return complete;
    }

    private void serve(RawConnection connection, int number) throws Exception {
        String head;
        while ((head = connection.readHead()) != null) {
            String path = RawConnection.header(head, "X-Path");
            if (head.startsWith("POST")) {
                bookingRuns.computeIfAbsent(path, key -> new AtomicInteger()).incrementAndGet();
            }
            String response = "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
            int fault = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
            if (fault < 5) {
                return;
            } else if (fault < 10) {
                connection.send(response + response);
            } else if (fault < 15) {
                connection.send(response.substring(0, response.length() - 1));
                connection.reset();
            } else if (fault == 15) {
                // Returns when the proxy closes the connection at the deadline, or with the next request if it does
                // not.
                connection.read();
                connection.send(response);
            } else if (fault < 20) {
                connection.send(response);
                return;
            } else if (fault < 25) {
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + path.length() + "\r\n");
                connection.reset();
            } else {
                connection.send(response);
            }
        }
    }
}
