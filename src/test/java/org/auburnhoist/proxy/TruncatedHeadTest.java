package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.message.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a success with an empty or short body, framed as whole, if a server closes its connection in the
 * middle of the head of its response.
 */
@Timeout(120)
class TruncatedHeadTest extends ProxyTestBase {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\n";

    @Test
    void aHeadThatIsCutAnywhereIsAFailure() throws Exception {
        for (int length = 1; length < HEAD.length(); length++) {
            String part = HEAD.substring(0, length);
            upstream = new RawUpstream((connection, number) -> {
                connection.readHead();
                connection.send(part);
                connection.close();
            });
            TestForwarding forwarding = TestForwarding.booking(upstream.address());
            try (RawConnection caller = start(forwarding(forwarding))) {
                caller.send("GET /a HTTP/1.1\r\nHost: fleet\r\n\r\n");
                assertRefused(caller.readMessage(), Refusal.UPSTREAM_FAILED);
            }
            assertEquals(1, forwarding.attempts.size(), "attempts after " + length + " bytes");
            assertEquals(
                    AttemptOutcome.CONNECTION_LOST, forwarding.attempts.get(0).outcome());
            closeBoth();
        }
    }

    private void closeBoth() throws IOException {
        proxy.close();
        upstream.close();
    }
}
