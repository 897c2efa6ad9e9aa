package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests on a connection that the server is about to close, and against unnecessary new connections.
 */
@Timeout(60)
class IdleConnectionTest {
    private static final String GET = "GET /a HTTP/1.1\r\nHost: fleet\r\n\r\n";

    @ParameterizedTest
    @CsvSource({"Keep-Alive: timeout=1, 2", "Keep-Alive: timeout=30, 1", "X-Other: 1, 2"})
    void idleConnectionsAreKeptAsLongAsTheServerAnnounces(String header, int connections) throws Exception {
        ProxySettings settings = ProxySettings.builder()
                .upstreamIdleExpiry(Duration.ofMillis(300))
                .build();
        try (RawUpstream upstream =
                        RawUpstream.responding("HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 2\r\n\r\nok");
                ProxyServer proxy = ProxyServer.start(
                        settings,
                        (head, now) -> CompletableFuture.completedFuture(
                                new Admission.Forwarded(TestForwarding.lookup(upstream.address()))));
                RawConnection caller = RawConnection.to(proxy.address())) {
            assertTrue(caller.send(GET).readMessage().endsWith("ok"));
            Thread.sleep(700);
            assertTrue(caller.send(GET).readMessage().endsWith("ok"));
            assertEquals(connections, upstream.connections.get());
        }
    }
}
