package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.RecordedResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against malformed, oversized or slow requests of callers, and against a planned stop that cuts off requests.
 */
@Timeout(120)
class CallerConnectionTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final String START = "POST /a HTTP/1.1\r\nHost: fleet\r\n";
    private static final int BLOCK_BYTES = 1 << 16;
    /** More than the socket buffers of two connections hold. */
    private static final long SOCKET_BUFFER_BYTES = 64L << 20;

    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

    private final AtomicInteger admitted = new AtomicInteger();
    private ProxyServer proxy;
    private RawUpstream upstream;

    @AfterEach
    void close() throws IOException {
        proxy.close();
        if (upstream != null) {
            upstream.close();
        }
    }

    private RawConnection start(ProxySettings.Builder settings) throws IOException {
        if (upstream == null) {
            upstream = RawUpstream.responding(OK);
        }
        proxy = ProxyServer.start(settings.build(), (head, now) -> {
            admitted.incrementAndGet();
            return CompletableFuture.completedFuture(
                    new Admission.Forwarded(TestForwarding.booking(upstream.address())));
        });
        return RawConnection.to(proxy.address());
    }

    /** Guards against request smuggling: requests whose end the proxy and an upstream server determine differently. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                START + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                START + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
                START + "Content-Length: 1, 1\r\n\r\nx",
                START + "Content-Length: +1\r\n\r\nx",
                START + "Content-Length: -1\r\n\r\n",
                START + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                START + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
                START + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                START + "Content-Length : 1\r\n\r\nx",
                START + "X-Folded: a\r\n b\r\n\r\n",
                START + "X-Control: a\u0000b\r\n\r\n",
                START + "X-Control: a\rContent-Length: 4\r\n\r\n",
                START + "No-Colon\r\n\r\n",
                START + "Host: other\r\n\r\n",
                "GET /a HTTP/1.1\r\n\r\n",
                "GET /a\u0001 HTTP/1.1\r\nHost: fleet\r\n\r\n",
                "GET  /a HTTP/1.1\r\nHost: fleet\r\n\r\n",
                "GET /a HTTP/1.0\r\nHost: fleet\r\n\r\n",
                "CONNECT /a HTTP/1.1\r\nHost: fleet\r\n\r\n",
                "\u0016\u0003\u0001\r\n\r\n"
            })
    void refusesMalformedHeads(String request) throws Exception {
        try (RawConnection caller = start(ProxySettings.builder())) {
            ProxyTestBase.assertRefused(caller.send(request).readMessage(), Refusal.MALFORMED_REQUEST);
            assertEquals(-1, caller.read());
            assertEquals(0, admitted.get());
            assertEquals(0, upstream.connections.get());
        }
    }

    /** Guards against connections that bytes of another protocol keep open without a response. */
    @ParameterizedTest
    @ValueSource(strings = {"\u0016\u0003\u0001\u0002", "{\"a\":1}", "SSH-2.0-client_with_a_name_of_no_request_method"})
    void bytesOfAnotherProtocolAreRefusedBeforeTheEndOfALine(String bytes) throws Exception {
        try (RawConnection caller = start(ProxySettings.builder().headTimeout(Duration.ofSeconds(50)))) {
            long begin = System.nanoTime();
            ProxyTestBase.assertRefused(caller.send(bytes).readMessage(), Refusal.MALFORMED_REQUEST);
            assertTrue(System.nanoTime() - begin < Duration.ofSeconds(10).toNanos());
            assertEquals(0, admitted.get());
        }
    }

    /** Guards against start lines that are lost when they arrive in pieces. */
    @Test
    void startLineMayArriveInPieces() throws Exception {
        try (RawConnection caller = start(ProxySettings.builder())) {
            for (String piece : List.of("\r", "\nPO", "ST /a HT", "TP/1.1\r", "\nHost: fl", "eet\r\n", "\r\n")) {
                caller.send(piece);
                Thread.sleep(30);
            }
            assertTrue(caller.readMessage().startsWith("HTTP/1.1 200"));
        }
    }

    /** Guards against a refusal that is lost to a connection reset while the caller is still sending its head. */
    @Test
    void refusalOfOversizedHeadArrivesWhileCallerStillSends() throws Exception {
        try (RawConnection caller = start(ProxySettings.builder())) {
            caller.send("GET /a HTTP/1.1\r\nHost: fleet\r\nX-Large: ");
            CompletableFuture<Void> sending = CompletableFuture.runAsync(() -> {
                try {
                    for (int block = 0; block < 16; block++) {
                        caller.send("x".repeat(BLOCK_BYTES));
                    }
                } catch (IOException closed) {
                    // The proxy need not read all of it.
                }
            });
            ProxyTestBase.assertRefused(caller.readMessage(), Refusal.HEADER_TOO_LARGE);
            sending.get(30, TimeUnit.SECONDS);
        }
    }

    /** Guards against chunk sizes that receivers interpret differently, and against forwarding part of the body. */
    @ParameterizedTest
    @ValueSource(strings = {"-1", "+1", "0x1", "1 1", "", "g", "ffffffffffffffff", "1;", "\u0661"})
    void refusesMalformedChunks(String size) throws Exception {
        try (RawConnection caller = start(ProxySettings.builder())) {
            String body = "1\r\nx\r\n" + size + "\r\n" + (size.equals("1;") ? "xy\r\n" : "x\r\n") + "0\r\n\r\n";
            String response = caller.send(START + "Transfer-Encoding: chunked\r\n\r\n" + body)
                    .readMessage();
            ProxyTestBase.assertRefused(response, Refusal.MALFORMED_REQUEST);
            assertEquals(0, upstream.connections.get());
        }
    }

    /** Guards against heads and bodies that exhaust the memory. */
    @Test
    void refusesOversizedHeadsAndBodies() throws Exception {
        String large = "x".repeat(5000);
        Map<String, Refusal> requests = Map.of(
                START + "X-Large: " + large + "\r\n\r\n", Refusal.HEADER_TOO_LARGE,
                "GET /" + large, Refusal.HEADER_TOO_LARGE,
                START + "X-Many: 1\r\n".repeat(30) + "\r\n", Refusal.HEADER_TOO_LARGE,
                START + "Content-Length: 1001\r\n\r\n", Refusal.REQUEST_TOO_LARGE,
                START + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + large.substring(0, 1001) + "\r\n0\r\n\r\n",
                        Refusal.REQUEST_TOO_LARGE);
        start(ProxySettings.builder().headLimits(4096, 20).maxBodyBytes(1000)).close();
        for (Map.Entry<String, Refusal> request : requests.entrySet()) {
            try (RawConnection caller = RawConnection.to(proxy.address())) {
                ProxyTestBase.assertRefused(caller.send(request.getKey()).readMessage(), request.getValue());
            }
        }
        assertEquals(0, upstream.connections.get());
    }

    /** Guards against callers that hold connections and memory by sending slowly. */
    @Test
    void refusesSlowSenders() throws Exception {
        start(ProxySettings.builder().headTimeout(SHORT_TIMEOUT).bodyTimeout(SHORT_TIMEOUT))
                .close();
        for (String request : List.of(
                "GET /a HT", START + "Content-Length: 2\r\n\r\nx", START + "Transfer-Encoding: chunked\r\n\r\n1\r\n")) {
            try (RawConnection caller = RawConnection.to(proxy.address())) {
                ProxyTestBase.assertRefused(caller.send(request).readMessage(), Refusal.REQUEST_TIMEOUT);
                assertEquals(-1, caller.read());
            }
        }
        assertEquals(0, upstream.connections.get());
    }

    /** Guards against connections that stay open without requests, and against more of them than the limit. */
    @Test
    void closesIdleAndSurplusConnections() throws Exception {
        try (RawConnection first = start(ProxySettings.builder().maxCallerConnections(1))) {
            assertTrue(first.send(START + "\r\n").readMessage().endsWith("ok"));
            try (RawConnection surplus = RawConnection.to(proxy.address())) {
                assertTrue(endsWithoutResponse(surplus));
            } catch (SocketException refused) {
                // On a busy machine the proxy closes the connection before the opening call returns.
                assertTrue(String.valueOf(refused.getMessage()).contains("reset"), refused.toString());
            }
        }
        proxy.close();
        try (RawConnection idle = start(ProxySettings.builder().callerIdleTimeout(SHORT_TIMEOUT))) {
            assertTrue(endsWithoutResponse(idle));
        }
    }

    private static boolean endsWithoutResponse(RawConnection connection) {
        try {
            return connection.read() < 0;
        } catch (IOException reset) {
            return true;
        }
    }

    /** Guards against responses that are lost or in the wrong order when a caller pipelines requests. */
    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        proxy = ProxyServer.start(ProxySettings.builder().build(), (head, now) -> {
            byte[] body = head.path().getBytes();
            return CompletableFuture.supplyAsync(
                    () -> new Admission.Answered(new RecordedResponse(200, List.of(), body, true)));
        });
        int count = 3000;
        try (RawConnection caller = RawConnection.to(proxy.address())) {
            StringBuilder requests = new StringBuilder();
            for (int number = 0; number < count; number++) {
                requests.append("GET /").append(number).append(" HTTP/1.1\r\nHost: fleet\r\n\r\n");
            }
            CompletableFuture<Void> sending = CompletableFuture.runAsync(() -> {
                try {
                    caller.send(requests.toString());
                } catch (IOException cause) {
                    throw new IllegalStateException(cause);
                }
            });
            for (int number = 0; number < count; number++) {
                assertTrue(caller.readMessage().endsWith("\r\n/" + number));
            }
            sending.get(60, TimeUnit.SECONDS);
        }
    }

    /** Guards against buffering of a large response for a caller that does not read. */
    @Test
    void largeResponseWaitsForTheCaller() throws Exception {
        long size = 256L << 20;
        AtomicLong written = new AtomicLong();
        upstream = new RawUpstream((connection, number) -> {
            if (upstream.readHead(connection).startsWith("GET")) {
                connection.send(OK);
                return;
            }
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n");
            writeBlocks(connection, size, written);
        });
        try (RawConnection caller = start(ProxySettings.builder())) {
            String head = caller.send(START + "\r\n").readHead();
            assertEquals(Long.toString(size), RawConnection.header(head, "Content-Length"));
            assertOtherRequestsPass();
            assertTrue(
                    written.get() < SOCKET_BUFFER_BYTES, "written for a caller that does not read: " + written.get());
            for (long read = 0; read < size; read += BLOCK_BYTES) {
                caller.readBytes(BLOCK_BYTES);
            }
        }
    }

    /** Guards against buffering of a large request body for a server that does not read. */
    @Test
    void largeRequestBodyWaitsForTheServer() throws Exception {
        long size = 256L << 20;
        AtomicLong written = new AtomicLong();
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch reading = new CountDownLatch(1);
        upstream = new RawUpstream((connection, number) -> {
            if (upstream.readHead(connection).startsWith("POST")) {
                received.countDown();
                reading.await();
                for (long read = 0; read < size; read += BLOCK_BYTES) {
                    connection.readBytes(BLOCK_BYTES);
                }
            }
            connection.send(OK);
        });
        try (RawConnection caller = start(ProxySettings.builder())) {
            caller.send(START + "Content-Length: " + size + "\r\n\r\n");
            CompletableFuture<Void> sending = CompletableFuture.runAsync(() -> writeBlocks(caller, size, written));
            received.await();
            assertOtherRequestsPass();
            assertTrue(
                    written.get() < SOCKET_BUFFER_BYTES, "written for a server that does not read: " + written.get());
            reading.countDown();
            assertTrue(caller.readMessage().endsWith("ok"));
            sending.get(60, TimeUnit.SECONDS);
        }
    }

    /** Sends many other requests, during which the proxy could buffer more than it should. */
    private void assertOtherRequestsPass() throws IOException {
        try (RawConnection other = RawConnection.to(proxy.address())) {
            for (int count = 0; count < 500; count++) {
                assertTrue(other.send("GET /other HTTP/1.1\r\nHost: fleet\r\n\r\n")
                        .readMessage()
                        .endsWith("ok"));
            }
        }
    }

    private static void writeBlocks(RawConnection connection, long size, AtomicLong written) {
        byte[] block = new byte[BLOCK_BYTES];
        try {
            while (written.get() < size) {
                connection.send(block);
                written.addAndGet(BLOCK_BYTES);
            }
        } catch (IOException cause) {
            throw new IllegalStateException(cause);
        }
    }

    /** Guards against buffering of a large request, and against its corruption in transit. */
    @Test
    void largeRequestBodyIsStreamed() throws Exception {
        int size = 64 << 20;
        upstream = new RawUpstream((connection, number) -> {
            byte[] body = connection.readBody(upstream.readHead(connection));
            long sum = 0;
            for (byte value : body) {
                sum = sum * 31 + value;
            }
            String response = body.length + ":" + sum;
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + response.length() + "\r\n\r\n" + response);
            connection.read();
        });
        byte[] body = new byte[size];
        long sum = 0;
        for (int index = 0; index < size; index++) {
            body[index] = (byte) (index * 7 + (index >> 9));
            sum = sum * 31 + body[index];
        }
        try (RawConnection caller = start(ProxySettings.builder())) {
            caller.send(START + "Content-Length: " + size + "\r\n\r\n").send(body);
            assertTrue(caller.readMessage().endsWith("\r\n" + size + ":" + sum));
            caller.send(START + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(size) + "\r\n")
                    .send(body)
                    .send("\r\n0\r\n\r\n");
            assertTrue(caller.readMessage().endsWith("\r\n" + size + ":" + sum));
        }
    }

    /** Guards against a planned stop that aborts a request, or that callers notice only by a failed request. */
    @Test
    void plannedStopFinishesRequests() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch stopping = new CountDownLatch(1);
        upstream = new RawUpstream((connection, number) -> {
            upstream.readHead(connection);
            received.countDown();
            stopping.await();
            connection.send(OK);
            connection.read();
        });
        try (RawConnection caller = start(ProxySettings.builder())) {
            caller.send(START + "\r\n");
            received.await();
            proxy.stopAccepting(System.nanoTime());
            CompletableFuture<Boolean> closed =
                    CompletableFuture.supplyAsync(() -> proxy.close(Duration.ofSeconds(60)));
            stopping.countDown();
            String response = caller.readMessage();
            assertTrue(response.endsWith("ok"), response);
            assertEquals("close", RawConnection.header(response, "Connection"));
            assertEquals(-1, caller.read());
            assertTrue(closed.get(60, TimeUnit.SECONDS));
            assertEquals(0, proxy.requestsInProgress());
        }
    }

    /** Guards against bodies that never arrive because the caller waits for {@code 100 Continue}. */
    @Test
    void sendsContinueToCallerThatExpectsIt() throws Exception {
        try (RawConnection caller = start(ProxySettings.builder())) {
            caller.send(START + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n");
            assertTrue(caller.readHead().startsWith("HTTP/1.1 100"));
            assertTrue(caller.send("x").readMessage().endsWith("ok"));
            assertFalse(upstream.heads.get(0).contains("Expect"));
        }
    }
}
