package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.gateway.GatewaySettings;
import org.auburnhoist.support.Closer;
import org.auburnhoist.support.Supervisor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against hosts that say that they are ready although a part that serves callers has stopped. */
@Timeout(60)
class WatchedHostTest {
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final Closer closer = new Closer();
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<String> ended = new CopyOnWriteArrayList<>();
    private Set<Thread> before;
    private Supervisor supervisor;
    private GatewaySettings settings;

    @BeforeEach
    void start() throws Exception {
        before = Set.copyOf(Thread.getAllStackTraces().keySet());
        FakeKvStore store = closer.register(new FakeKvStore());
        store.put("op/config", PlatformHostTest.configuration(4, "k1", 1_000));
        settings = PlatformHostTest.settings("host-1");
        supervisor = new Supervisor(ended::add, System.nanoTime()).start();
        closer.register(PlatformHost.start(new BootFile(settings, store.address()), supervisor));
        await(200);
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    // A part that reports too rarely would take an idle host out of service and end it.
    @Test
    void anIdleHostStaysReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(12);
        while (System.nanoTime() - end < 0) {
            assertEquals(200, readiness());
            Thread.sleep(100);
        }
        assertEquals(List.of(), ended);
    }

    // Without this thread no request is passed on, while the host went on to say that it is ready.
    @Test
    void aHostWhoseUpstreamThreadHasEndedIsNotReadyAndEnds() throws Exception {
        Thread thread = Thread.getAllStackTraces().keySet().stream()
                .filter(each -> !before.contains(each) && each.getName().startsWith("upstream-io"))
                .findFirst()
                .orElseThrow();
        thread.interrupt();
        thread.join();
        assertEquals(503, readiness());
        long end = System.nanoTime() + WAIT_NANOS;
        while (ended.isEmpty() && System.nanoTime() - end < 0) {
            Thread.sleep(50);
        }
        assertEquals("upstream-io", ended.get(0));
    }

    // A thread that is stuck does not end, and nothing else tells that it serves nobody.
    @Test
    void aHostWithAPartWithoutProgressIsNotReady() throws Exception {
        supervisor.watch("stuck");
        await(503);
        assertEquals(List.of(), ended);
    }

    private void await(int status) throws Exception {
        long end = System.nanoTime() + WAIT_NANOS;
        while (readiness() != status) {
            assertTrue(System.nanoTime() - end < 0, "expected status " + status);
            Thread.sleep(50);
        }
    }

    private int readiness() throws Exception {
        URI address =
                URI.create("http://127.0.0.1:" + settings.readinessAddress().getPort() + "/api/readiness");
        return client.send(HttpRequest.newBuilder(address).build(), HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }
}
