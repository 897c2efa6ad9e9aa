package org.auburnhoist.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.proxy.Admission;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.proxy.ProxySettings;
import org.auburnhoist.proxy.RawConnection;
import org.auburnhoist.support.ManualScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against long responses that the end of a planned stop cuts although their callers are reading them. */
@Timeout(60)
class CallerDrainTest {
    /** More than the sockets and the proxy buffer. */
    private static final int BODY_BYTES = 32 * 1024 * 1024;

    private final ManualScheduler control = new ManualScheduler();
    private final AtomicInteger ends = new AtomicInteger();
    private ProxyServer proxy;
    private RawConnection caller;
    private String head;

    @BeforeEach
    void startResponse() throws IOException {
        RecordedResponse response = new RecordedResponse(200, List.of(), new byte[BODY_BYTES], true);
        proxy = ProxyServer.start(
                ProxySettings.builder()
                        .listenAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .build(),
                (request, now) -> CompletableFuture.completedFuture(new Admission.Answered(response)));
        caller = RawConnection.to(proxy.address());
        head = caller.send("GET /charts HTTP/1.1\r\nHost: fleet\r\n\r\n").readHead();
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        proxy.close();
    }

    /** A caller whose response is cut has to fetch it again. */
    @Test
    void aResponseThatIsBeingSentMayEnd() throws Exception {
        CallerDrain.end(proxy, control, left -> ends.incrementAndGet());
        control.runNext(0);
        control.runNext(TimeUnit.MILLISECONDS.toNanos(100));
        assertEquals(0, ends.get(), "ended while the response is being sent");
        assertEquals(BODY_BYTES, caller.readBody(head).length);
        while (!proxy.unfinishedRequests().isEmpty()) {
            Thread.onSpinWait();
        }
        control.runNext(TimeUnit.MILLISECONDS.toNanos(150));
        control.runNext(TimeUnit.MILLISECONDS.toNanos(250));
        assertEquals(1, ends.get());
    }

    /** A caller that does not read would keep the process until it is killed. */
    @Test
    void aCallerThatDoesNotReadDelaysTheEndForAShortTimeOnly() {
        CallerDrain.end(proxy, control, left -> ends.incrementAndGet());
        control.runNext(0);
        control.runNext(TimeUnit.MILLISECONDS.toNanos(400));
        control.runNext(TimeUnit.MILLISECONDS.toNanos(500));
        assertEquals(1, ends.get());
    }
}
