package org.auburnhoist.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.auburnhoist.core.TrafficClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against memory that grows with the output of a fast sender while the receiver does not read. */
@Timeout(120)
class BackpressureTest extends ProxyTestBase {
    private static final int CONNECTIONS = 100;
    /** Far more than the windows of all bodies, and far less than the senders send during the test. */
    private static final long MAX_GROWTH_BYTES = 48L << 20;

    private static final String CHUNK = "3e8\r\n" + "a".repeat(1_000) + "\r\n";

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private RequestPolicy lookupsOfAnyNumber() {
        return (head, now) -> CompletableFuture.completedFuture(new Admission.Forwarded(
                new TestForwarding(TrafficClass.LOOKUP, Duration.ofSeconds(60), upstream.address())
                        .connectionLimit(CONNECTIONS)));
    }

    private static void assertNoGrowth(long before) throws InterruptedException {
        Thread.sleep(1_500);
        long growth = usedBytes() - before;
        assertTrue(growth < MAX_GROWTH_BYTES, "grew by " + growth + " bytes");
    }

    @Test
    void responsesThatCallersDoNotRead() throws Exception {
        upstream = new RawUpstream((connection, number) -> {
            connection.readHead();
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                connection.send(CHUNK);
            }
        });
        List<RawConnection> callers = new ArrayList<>(List.of(start(lookupsOfAnyNumber())));
        long before = usedBytes();
        while (callers.size() < CONNECTIONS) {
            callers.add(RawConnection.to(proxy.address()));
        }
        for (RawConnection caller : callers) {
            caller.send(GET);
            String head = caller.readHead();
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
        }
        assertNoGrowth(before);
        for (RawConnection caller : callers) {
            caller.close();
        }
    }

    @Test
    void requestsThatTheServerDoesNotRead() throws Exception {
        upstream = new RawUpstream((connection, number) -> {
            connection.readHead();
            Thread.sleep(60_000);
        });
        List<RawConnection> callers = new ArrayList<>(List.of(start(lookupsOfAnyNumber())));
        long before = usedBytes();
        while (callers.size() < 10) {
            callers.add(RawConnection.to(proxy.address()));
        }
        for (RawConnection caller : callers) {
            Thread sender = new Thread(() -> sendEndlessly(caller), "sender");
            sender.setDaemon(true);
            sender.start();
        }
        assertNoGrowth(before);
        for (RawConnection caller : callers) {
            caller.close();
        }
    }

    private static void sendEndlessly(RawConnection caller) {
        try {
            caller.send("POST /stars HTTP/1.1\r\nHost: fleet\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (true) {
                caller.send(CHUNK);
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }
}
