package org.auburnhoist.load;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.host.EntryHost;
import org.auburnhoist.store.StoreCallKind;

/** Samples CPU usage, control traffic and store calls of the process and its fleet once a second. */
final class FleetSampler implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;

    private final LocalFleet fleet;
    private final long startNanos = System.nanoTime();
    private final OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private final Map<EntryHost, Long> bytesByHost = new HashMap<>();
    private final Map<String, Long> firstCalls;
    private final List<ExperimentResult.Sample> samples = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "fleet-sampler");
        thread.setDaemon(true);
        return thread;
    });
    private final long firstCpuNanos;
    private long controlBytes;
    private long lastNanos = startNanos;
    private long lastCpuNanos;
    private long lastCalls;

    FleetSampler(LocalFleet fleet) {
        this.fleet = fleet;
        this.firstCpuNanos = system.getProcessCpuTime();
        this.lastCpuNanos = firstCpuNanos;
        this.lastCalls = fleet.storeEmulator().counts().total();
        this.firstCalls = calls();
        newControlBytes();
        controlBytes = 0;
        timer.scheduleAtFixedRate(this::sample, 1, 1, TimeUnit.SECONDS);
    }

    /** Stops sampling; the figures since the start can still be read. */
    void end() {
        timer.shutdownNow();
    }

    @Override
    public void close() {
        end();
    }

    synchronized List<ExperimentResult.Sample> samples() {
        return List.copyOf(samples);
    }

    /** Returns the average control traffic of a host since the start, in bytes per second. */
    synchronized double controlBytesPerHostSecond() {
        controlBytes += newControlBytes();
        return controlBytes / (fleet.hosts().size() * (System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    }

    /** Returns the average number of CPU cores that the process used since the start. */
    double cpuCores() {
        return (system.getProcessCpuTime() - firstCpuNanos) / (double) (System.nanoTime() - startNanos);
    }

    /** Returns the store calls since the start, by kind. */
    Map<String, Long> storeCalls() {
        Map<String, Long> difference = new TreeMap<>();
        calls().forEach((kind, count) -> difference.put(kind, count - firstCalls.getOrDefault(kind, 0L)));
        return difference;
    }

    private synchronized void sample() {
        long now = System.nanoTime();
        long cpu = system.getProcessCpuTime();
        long calls = fleet.storeEmulator().counts().total();
        long bytes = newControlBytes();
        double elapsed = (now - lastNanos) / NANOS_PER_SECOND;
        controlBytes += bytes;
        samples.add(new ExperimentResult.Sample(
                (now - startNanos) / NANOS_PER_SECOND,
                (cpu - lastCpuNanos) / NANOS_PER_SECOND / elapsed,
                bytes / elapsed / fleet.hosts().size(),
                calls - lastCalls));
        lastNanos = now;
        lastCpuNanos = cpu;
        lastCalls = calls;
    }

    /** Returns the bytes since the previous call; the last bytes of a replaced host are not counted. */
    private long newControlBytes() {
        long difference = 0;
        for (EntryHost host : fleet.hosts()) {
            long bytes = host.peerTraffic().sentBytes() + host.peerTraffic().receivedBytes();
            Long before = bytesByHost.put(host, bytes);
            difference += bytes - (before == null ? 0 : before);
        }
        return difference;
    }

    private Map<String, Long> calls() {
        Map<String, Long> calls = new TreeMap<>();
        for (StoreCallKind kind : StoreCallKind.values()) {
            calls.put(
                    kind.name().toLowerCase(Locale.ROOT),
                    fleet.storeEmulator().counts().of(kind));
        }
        return calls;
    }
}
