package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.Refusal;
import org.junit.jupiter.api.AfterEach;

/** Base class of tests that run a proxy between a raw caller and a raw upstream server. */
abstract class ProxyTestBase {
    static final String GET = "GET /stars?page=2 HTTP/1.1\r\nHost: fleet\r\n\r\n";
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    ProxyServer proxy;
    RawUpstream upstream;

    @AfterEach
    void close() throws IOException {
        if (proxy != null) {
            proxy.close();
        }
        if (upstream != null) {
            upstream.close();
        }
    }

    RawConnection start(RequestPolicy policy) throws IOException {
        return start(ProxySettings.builder(), policy);
    }

    RawConnection start(ProxySettings.Builder settings, RequestPolicy policy) throws IOException {
        proxy = ProxyServer.start(settings.build(), policy);
        return RawConnection.to(proxy.address());
    }

    /** Waits for the pool, because a response may reach the caller before its upstream connection is returned. */
    void awaitIdleConnection() {
        while (proxy.pool().idleConnections(upstream.address()) == 0) {
            Thread.onSpinWait();
        }
    }

    static RequestPolicy forwarding(Forwarding forwarding) {
        return (head, now) -> CompletableFuture.completedFuture(new Admission.Forwarded(forwarding));
    }

    static RequestPolicy lookups(String... addresses) {
        return (head, now) ->
                CompletableFuture.completedFuture(new Admission.Forwarded(TestForwarding.lookup(addresses)));
    }

    static void assertRefused(String response, Refusal refusal) {
        assertTrue(response.startsWith("HTTP/1.1 " + refusal.status()), response);
        assertEquals(refusal.code(), RawConnection.header(response, "Auburnhoist-Refusal"), response);
        assertEquals(refusal.outcome().headerValue(), RawConnection.header(response, "Auburnhoist-Outcome"));
        assertTrue(response.contains("{\"refusal\":\"" + refusal.code() + "\""), response);
    }
}
