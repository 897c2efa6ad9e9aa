package org.auburnhoist.load;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.HdrHistogram.Histogram;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.message.AttemptOutcome;
import org.auburnhoist.core.message.Message;
import org.auburnhoist.core.message.SlotAnswer;
import org.auburnhoist.core.message.SlotRelease;
import org.auburnhoist.core.message.SlotRequest;
import org.auburnhoist.core.message.TokenRequest;
import org.auburnhoist.load.LoadClient.Result;
import org.auburnhoist.peer.CallResult;
import org.auburnhoist.peer.PeerClient;
import org.auburnhoist.peer.PeerSettings;
import org.auburnhoist.peer.TrafficCounter;
import org.auburnhoist.proxy.ProxyServer;
import org.auburnhoist.proxy.ProxySettings;
import org.auburnhoist.support.LogFormatter;

/**
 * Measures the data path of one entry host on loopback. The arguments name the measurements to run: {@code latency},
 * {@code ceiling} (maximum throughput), {@code idle}, {@code download} and {@code hop}.
 */
public final class DataPathMeasurement {
    private static final int CONNECTIONS = 32;
    private static final int WARM_UP_SECONDS = 10;
    private static final int[] RATES = {100, 500, 1000};
    private static final int ROUNDS = 5;
    private static final double SLICE_SECONDS = 3;
    private static final int IDLE_CONNECTIONS = 2_000;
    private static final long DOWNLOAD_BYTES = 1L << 30;
    private static final int HOPS = 5_000;
    private static final Duration HOP_TIMEOUT = Duration.ofSeconds(2);

    private final PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);

    private DataPathMeasurement() {}

    /** Runs the named measurements and prints their figures to the standard output. */
    public static void main(String[] arguments) throws Exception {
        LogFormatter.install();
        DataPathMeasurement measurement = new DataPathMeasurement();
        for (String name : arguments) {
            measurement.run(name);
        }
    }

    private void run(String name) throws Exception {
        if (name.equals("idle")) {
            idle();
            return;
        }
        try (MeasuredHosts hosts = MeasuredHosts.start(name.equals("hop") ? 2 : 1)) {
            switch (name) {
                case "latency" -> latency(hosts);
                case "ceiling" -> ceiling(hosts);
                case "download" -> download(hosts);
                case "hop" -> hop(hosts);
                default -> throw new IllegalArgumentException("measurement: unknown name " + name);
            }
        }
    }

    private void latency(MeasuredHosts hosts) throws IOException {
        String request = MeasuredHosts.request("/telescopes/7");
        try (LoadClient direct = new LoadClient(hosts.upstream().address(), CONNECTIONS, request);
                LoadClient through = new LoadClient(hosts.host(0).callerAddress(), CONNECTIONS, request)) {
            direct.openLoop(2_000, WARM_UP_SECONDS / 2.0);
            through.openLoop(2_000, WARM_UP_SECONDS);
            for (int rate : RATES) {
                Histogram directTotal = new Histogram(3);
                Histogram throughTotal = new Histogram(3);
                long failures = 0;
                for (int round = 0; round < ROUNDS; round++) {
                    directTotal.add(direct.openLoop(rate, SLICE_SECONDS).latencies());
                    Result result = through.openLoop(rate, SLICE_SECONDS);
                    throughTotal.add(result.latencies());
                    failures += result.failures();
                }
                print("latency rate=%d failures=%d", rate, failures);
                for (double percentile : new double[] {50, 99, 99.9}) {
                    double own = directTotal.getValueAtPercentile(percentile) / 1e6;
                    double with = throughTotal.getValueAtPercentile(percentile) / 1e6;
                    print("  p%.1f direct=%.3fms host=%.3fms added=%.3fms", percentile, own, with, with - own);
                }
            }
        }
    }

    private void ceiling(MeasuredHosts hosts) throws IOException {
        String request = MeasuredHosts.request("/telescopes/7");
        try (LoadClient direct = new LoadClient(hosts.upstream().address(), CONNECTIONS, request);
                LoadClient through = new LoadClient(hosts.host(0).callerAddress(), CONNECTIONS, request)) {
            through.closedLoop(WARM_UP_SECONDS);
            for (int round = 0; round < ROUNDS; round++) {
                Result own = direct.closedLoop(1);
                ThreadUsage before = ThreadUsage.now();
                Result result = through.closedLoop(SLICE_SECONDS);
                ThreadUsage used = ThreadUsage.now().since(before);
                double count = result.latencies().getTotalCount();
                print(
                        "ceiling host=%.0f/s direct=%.0f/s failures=%d cpu=%.1fus/request (%.0f/s for a core) "
                                + "allocated=%.0fB/request cpu by thread=%s",
                        result.perSecond(),
                        own.perSecond(),
                        result.failures(),
                        used.totalCpuNanos() / count / 1e3,
                        1e9 * count / used.totalCpuNanos(),
                        used.allocatedBytes() / count,
                        byThread(used, count));
            }
        }
    }

    private static String byThread(ThreadUsage used, double count) {
        StringBuilder text = new StringBuilder();
        used.cpuNanos()
                .forEach((group, nanos) ->
                        text.append(String.format(Locale.ROOT, "%s:%.1fus ", group, nanos / count / 1e3)));
        return text.toString().strip();
    }

    /** Uses only the proxy, because a host accepts fewer connections by default. */
    private void idle() throws Exception {
        ProxySettings settings = ProxySettings.builder()
                .listenAddress(new InetSocketAddress("127.0.0.1", 0))
                .hostName("measured")
                .requestIdPrefix("measured")
                .maxCallerConnections(IDLE_CONNECTIONS)
                .build();
        try (ProxyServer proxy = ProxyServer.start(settings, (head, now) -> new CompletableFuture<>())) {
            long before = usedHeap();
            List<Socket> sockets = new ArrayList<>();
            for (int index = 0; index < IDLE_CONNECTIONS; index++) {
                sockets.add(
                        new Socket(proxy.address().getAddress(), proxy.address().getPort()));
            }
            Thread.sleep(2_000);
            long after = usedHeap();
            print(
                    "idle connections=%d heap before=%dKiB after=%dKiB, %d bytes each with the client's socket",
                    proxy.callerConnections(), before >> 10, after >> 10, (after - before) / sockets.size());
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static long usedHeap() throws InterruptedException {
        Runtime runtime = Runtime.getRuntime();
        for (int round = 0; round < 3; round++) {
            System.gc();
            Thread.sleep(200);
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void download(MeasuredHosts hosts) throws IOException {
        for (InetSocketAddress address :
                List.of(hosts.upstream().address(), hosts.host(0).callerAddress())) {
            long start = System.nanoTime();
            long maxHeap = 0;
            long received = 0;
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                String request = MeasuredHosts.request(EchoServer.BODY_PATH + DOWNLOAD_BYTES);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = socket.getInputStream();
                byte[] buffer = new byte[256 * 1024];
                int count = 0;
                while (received < DOWNLOAD_BYTES && count >= 0) {
                    count = in.read(buffer);
                    received += Math.max(0, count);
                    Runtime runtime = Runtime.getRuntime();
                    maxHeap = Math.max(maxHeap, runtime.totalMemory() - runtime.freeMemory());
                }
            }
            double seconds = (System.nanoTime() - start) / 1e9;
            print(
                    "download received=%dMiB in %.2fs (%.0fMiB/s) highest heap=%dMiB of %dMiB",
                    received >> 20,
                    seconds,
                    received / seconds / (1 << 20),
                    maxHeap >> 20,
                    Runtime.getRuntime().maxMemory() >> 20);
        }
    }

    /** Calls a host as a peer would: over an authenticated connection, with requests handled on its control thread. */
    private void hop(MeasuredHosts hosts) throws Exception {
        AsynchronousChannelGroup group =
                AsynchronousChannelGroup.withFixedThreadPool(2, Executors.defaultThreadFactory());
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        PeerSettings settings = PeerSettings.of(new HostId("measuring", 1), MeasuredHosts.SECRET);
        try (PeerClient client = new PeerClient(settings, group, timer, new TrafficCounter())) {
            InetSocketAddress peer = hosts.host(1).peerAddress();
            for (int round = 0; round < ROUNDS; round++) {
                Histogram tokens = new Histogram(3);
                Histogram slots = new Histogram(3);
                for (int index = 0; index < HOPS; index++) {
                    call(client, peer, new TokenRequest(MeasuredHosts.TEAM, 0, 1), tokens);
                    Message answer = call(client, peer, slotRequest(index), slots);
                    if (answer instanceof SlotAnswer granted) {
                        Message release = new SlotRelease("catalogue", granted.grantId(), AttemptOutcome.SUCCESS, 900);
                        call(client, peer, release, new Histogram(3));
                    }
                }
                print("hop round=%d token %s slot %s", round, text(tokens), text(slots));
            }
        } finally {
            group.shutdownNow();
            timer.shutdownNow();
        }
    }

    private static SlotRequest slotRequest(int fingerprint) {
        return new SlotRequest(
                "catalogue", "search", MeasuredHosts.TEAM, TrafficClass.LOOKUP, 5_000, fingerprint, List.of());
    }

    private static Message call(PeerClient client, InetSocketAddress peer, Message request, Histogram latencies) {
        long start = System.nanoTime();
        CallResult result = client.call(peer, request, HOP_TIMEOUT).join();
        latencies.recordValue(System.nanoTime() - start);
        if (result instanceof CallResult.Answered answered) {
            return answered.message();
        }
        throw new IllegalStateException("call: expected an answer, got " + result);
    }

    private static String text(Histogram latencies) {
        return String.format(
                Locale.ROOT,
                "p50=%.3fms p99=%.3fms",
                latencies.getValueAtPercentile(50) / 1e6,
                latencies.getValueAtPercentile(99) / 1e6);
    }

    private void print(String format, Object... values) {
        out.println(String.format(Locale.ROOT, format, values));
    }
}
