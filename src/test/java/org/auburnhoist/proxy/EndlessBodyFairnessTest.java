package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a peer that sends without end and as fast as it can: the thread that reads it would serve no other
 * connection of the host, and their requests would fail.
 */
@Timeout(120)
class EndlessBodyFairnessTest extends ProxyTestBase {
    private static final String POST = "POST /book HTTP/1.1\r\nHost: fleet\r\nContent-Length: 2\r\n\r\nhi";
    private static final byte[] BLOCK = new byte[1 << 20];
    /** Within the time for which the endless transfer goes on, and long for a request on one machine. */
    private static final Duration MAX_LATENCY = Duration.ofMillis(1_000);

    private static final Duration TRANSFER_TIME = Duration.ofSeconds(4);
    private final AtomicBoolean ended = new AtomicBoolean();

    /** The response of a booking whose caller has gone is read to its end, because the outcome is recorded. */
    @Test
    void otherRequestsAreAnsweredWhileTheResponseOfACallerWhoHasGoneHasNoEnd() throws Exception {
        CountDownLatch sending = new CountDownLatch(1);
        upstream = RawUpstream.responding(OK);
        try (RawUpstream endless = new RawUpstream((connection, number) -> {
            connection.readHead();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n");
            while (!ended.get()) {
                connection.send(BLOCK);
                sending.countDown();
            }
        })) {
            TestForwarding booking = new TestForwarding(TrafficClass.BOOKING, TRANSFER_TIME, endless.address()) {
                private final long endNanos = System.nanoTime() + TRANSFER_TIME.toNanos();

                @Override
                public long responseDeadlineNanos() {
                    return endNanos;
                }
            };
            RawConnection caller = start(
                    singleThreaded(),
                    (head, now) -> admitted(
                            head.method().equals("POST") ? booking : TestForwarding.lookup(upstream.address())));
            caller.send(POST);
            assertTrue(sending.await(30, TimeUnit.SECONDS));
            caller.close();
            assertAnsweredSoon();
            ended.set(true);
        }
    }

    /** The body of a refused request is discarded for a while, so that the refusal is not lost to a reset. */
    @Test
    void otherRequestsAreAnsweredWhileTheBodyOfARefusedRequestHasNoEnd() throws Exception {
        upstream = RawUpstream.responding(OK);
        RawConnection sender = start(
                singleThreaded(),
                (head, now) -> head.method().equals("POST")
                        ? CompletableFuture.completedFuture(
                                new Admission.Refused(Refusal.KEY_MISSING, "none", -1, List.of()))
                        : admitted(TestForwarding.lookup(upstream.address())));
        Thread thread = new Thread(() -> {
            try {
                sender.send("POST /book HTTP/1.1\r\nHost: fleet\r\nContent-Length: 900000000\r\n\r\n");
                while (!ended.get()) {
                    sender.send(BLOCK);
                }
            } catch (IOException closed) {
                // The proxy closes the connection after a while.
            }
        });
        thread.start();
        assertAnsweredSoon();
        ended.set(true);
        thread.join();
        sender.close();
    }

    private static ProxySettings.Builder singleThreaded() {
        return ProxySettings.builder().ioThreads(1, 1);
    }

    private static CompletableFuture<Admission> admitted(Forwarding forwarding) {
        return CompletableFuture.completedFuture(new Admission.Forwarded(forwarding));
    }

    private void assertAnsweredSoon() throws Exception {
        long slowest = 0;
        for (int request = 0; request < 10; request++) {
            long start = System.nanoTime();
            try (RawConnection other = RawConnection.to(proxy.address())) {
                assertTrue(other.send(GET).readMessage().endsWith("ok"));
            }
            slowest = Math.max(slowest, System.nanoTime() - start);
        }
        assertEquals(
                Map.of(),
                slowest > MAX_LATENCY.toNanos() ? Map.of("slowest answer in ms", slowest / 1_000_000) : Map.of());
    }
}
