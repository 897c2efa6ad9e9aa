package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.message.AttemptOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs the proxy between raw sockets. */
@Timeout(120)
class ProxyServerTest {
    private static final String GET = "GET /stars?page=2 HTTP/1.1\r\nHost: fleet\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private ProxyServer proxy;
    private RawUpstream upstream;

    @AfterEach
    void close() throws IOException {
        if (proxy != null) {
            proxy.close();
        }
        if (upstream != null) {
            upstream.close();
        }
    }

    private RawConnection start(RequestPolicy policy) throws IOException {
        return start(ProxySettings.builder(), policy);
    }

    private RawConnection start(ProxySettings.Builder settings, RequestPolicy policy) throws IOException {
        proxy = ProxyServer.start(settings.build(), policy);
        return RawConnection.to(proxy.address());
    }

    private static RequestPolicy forwarding(Forwarding forwarding) {
        return (head, now) -> CompletableFuture.completedFuture(new Admission.Forwarded(forwarding));
    }

    private static RequestPolicy lookups(String... addresses) {
        return (head, now) ->
                CompletableFuture.completedFuture(new Admission.Forwarded(TestForwarding.lookup(addresses)));
    }

    /** Guards against a proxy that loses the answer, the deadline or the request's id. */
    @Test
    void forwardsRequestAndAnswer() throws Exception {
        upstream = RawUpstream.answering(OK);
        TestForwarding forwarding = TestForwarding.lookup(upstream.address());
        try (RawConnection caller = start(forwarding(forwarding))) {
            String answer = caller.send(GET).readMessage();
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            assertTrue(answer.endsWith("ok"), answer);
            String seen = upstream.heads.get(0);
            assertTrue(seen.startsWith("GET /stars?page=2 HTTP/1.1\r\n"), seen);
            assertEquals(upstream.address(), RawConnection.header(seen, "Host"));
            assertEquals(
                    RawConnection.header(answer, HeaderRules.REQUEST_ID),
                    RawConnection.header(seen, HeaderRules.REQUEST_ID));
            assertNotNull(RawConnection.header(seen, HeaderRules.DEADLINE));
            assertEquals(new TestForwarding.Finish(200, null, null, true), forwarding.awaitFinish());
            assertEquals(List.of(new TestForwarding.Attempt(AttemptOutcome.SUCCESS, true)), forwarding.attempts);
        }
    }
}
