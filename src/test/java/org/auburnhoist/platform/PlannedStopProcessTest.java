package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.cli.Main;
import org.auburnhoist.support.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against bookings that a real process takes in its planned stop, up to its very end, and never answers, and
 * against a process that is still there when the platform kills it.
 */
@Timeout(120)
class PlannedStopProcessTest {
    private static final int CALLERS = 60;
    private static final int STOP_LIMIT_SECONDS = 3;

    private final Closer closer = new Closer();
    private final ExecutorService threads = Executors.newCachedThreadPool();

    private FakeUpstreamServer server;
    private Process process;
    private List<KeptConnection> callers;
    private long signalNanos;
    private CompletableFuture<Long> exitNanos;

    @TempDir
    private Path folder;

    @AfterEach
    void stop() {
        threads.shutdownNow();
        closer.close();
    }

    @Test
    void noBookingThatHasRunIsLeftWithoutAnAnswerWhenTheProcessEnds() throws Exception {
        startHost();
        server.workMillis(150);
        signal();
        List<CompletableFuture<Integer>> statuses = new ArrayList<>();
        for (KeptConnection caller : callers) {
            Thread.sleep(STOP_LIMIT_SECONDS * 1_000 / CALLERS);
            statuses.add(CompletableFuture.supplyAsync(caller::pay, threads));
        }
        checkStop(statuses, true);
    }

    /** A server that is still at work on them when the host ends could not tell their callers what became of them. */
    @Test
    void noBookingWhoseBodyEndsLateIsPassedOnToASlowServer() throws Exception {
        startHost();
        server.workMillis(1_200);
        signal();
        Thread.sleep(950);
        List<CompletableFuture<Integer>> statuses = new ArrayList<>();
        for (KeptConnection caller : callers) {
            Thread.sleep(2);
            statuses.add(CompletableFuture.supplyAsync(() -> caller.payWithBodyAfter(500), threads));
        }
        checkStop(statuses, false);
    }

    private void startHost() throws Exception {
        FakeKvStore store = closer.register(new FakeKvStore());
        server = closer.register(new FakeUpstreamServer("i-1"));
        store.put("op/config", PlatformHostTest.configuration(4, "k1", 1_000));
        store.put("servers/i-1", server.registration("ledger", "ready").replace("\"slots\":2", "\"slots\":20"));
        InetSocketAddress front = PlatformHostTest.freeAddress();
        process = start(front, PlatformHostTest.freeAddress(), store.address());
        closer.register(process::destroyForcibly);
        callers = connect(front);
    }

    private void signal() {
        signalNanos = System.nanoTime();
        exitNanos = process.onExit().thenApply(exited -> System.nanoTime());
        process.destroy();
    }

    private void checkStop(List<CompletableFuture<Integer>> statuses, boolean someServed) throws Exception {
        long stopMillis = (exitNanos.get(30, TimeUnit.SECONDS) - signalNanos) / 1_000_000;
        Map<Integer, Integer> counts = new TreeMap<>();
        for (int number = 0; number < CALLERS; number++) {
            int status = statuses.get(number).join();
            counts.merge(status, 1, Integer::sum);
            String attempt = callers.get(number).lastAttempt();
            assertEquals(status == 200, server.hasRun(attempt), "attempt " + attempt + " has run, status " + status);
        }
        assertEquals(someServed, counts.containsKey(200), "statuses " + counts);
        assertTrue(counts.containsKey(503), "statuses " + counts);
        assertEquals(0, process.exitValue());
        assertTrue(stopMillis < STOP_LIMIT_SECONDS * 1_000, "stopped after " + stopMillis + " ms");
    }

    private Process start(InetSocketAddress front, InetSocketAddress peer, InetSocketAddress store) throws Exception {
        Path settings = Files.writeString(folder.resolve("node.yaml"), """
                self: {node_name: "edge-1", zone: "a", ip: "127.0.0.1", bootstrap: true,
                       limits: {cpu_share: 1.0, cores: 1}}
                network: {listen: {front: "127.0.0.1:%d"}, internal_port_range: [%d, %d]}
                platform: {platform: {address: "127.0.0.1:%d"}}
                terms: {bounds: {grace_s: %d, ttl_max_s: 2}}
                """.formatted(
                        front.getPort(), peer.getPort(), peer.getPort(), store.getPort(), STOP_LIMIT_SECONDS));
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "serve-platform")
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("AUBURNHOIST_NODE_FILE", settings.toString());
        return builder.start();
    }

    private List<KeptConnection> connect(InetSocketAddress front) throws Exception {
        List<KeptConnection> callers = new ArrayList<>();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (callers.size() < CALLERS) {
            try {
                callers.add(closer.register(new KeptConnection(front, "kept-" + callers.size())));
            } catch (IOException starting) {
                assertTrue(System.nanoTime() - end < 0, () -> "the host does not serve: " + starting);
                Thread.sleep(50);
            }
        }
        return callers;
    }
}
