package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Guards against callers that connect to a stopping host and are reset without an answer, instead of being refused. */
class StopAcceptingTest extends ProxyTestBase {
    private static final int CALLERS = 20;
    /** Shorter than the interval at which the acceptor wakes up by itself. */
    private static final long PAUSE_MILLIS = 150;

    @Test
    void callersAreRefusedSoonAfterTheHostStopsAccepting() throws IOException, InterruptedException {
        upstream = RawUpstream.responding(OK);
        start(lookups(upstream.address()));
        // The acceptor waits in its selector, as it does most of the time.
        Thread.sleep(PAUSE_MILLIS);
        proxy.stopAccepting(System.nanoTime());
        Thread.sleep(PAUSE_MILLIS);
        int accepted = 0;
        for (int caller = 0; caller < CALLERS; caller++) {
            try (Socket socket =
                    new Socket(proxy.address().getAddress(), proxy.address().getPort())) {
                accepted += socket.isConnected() ? 1 : 0;
            } catch (ConnectException refused) {
                // The caller knows at once that its request was not read.
            }
        }
        assertEquals(0, accepted, "connections that the system accepted and nobody serves");
    }
}
