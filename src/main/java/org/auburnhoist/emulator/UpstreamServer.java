package org.auburnhoist.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Future;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.auburnhoist.emulator.GraySchedule.Ending;
import org.auburnhoist.emulator.GraySchedule.FaultDecision;
import org.jspecify.annotations.Nullable;

/**
 * One emulated upstream server. Its state is guarded by its monitor.
 *
 * <p>A request whose path or body contains {@value #CRASH_MARKER} crashes the server. {@code ?size=N} requests a
 * download of N bytes, {@code ?workMillis=N} a fixed service time in milliseconds. The header
 * {@code Auburnhoist-Deadline-Millis} is the time until the deadline when the request was sent, in milliseconds.
 */
public final class UpstreamServer {
    /** Text in the path or body of a request that crashes each server that executes the request. */
    public static final String CRASH_MARKER = "crash-upstream";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final String RETRY_AFTER_SECONDS = "1";

    private final UpstreamSpec spec;
    private final UpstreamEmulator emulator;
    private final UpstreamListener listener;
    private final RunCounts runCounts;
    private final GraySchedule graySchedule;
    private final Random serviceTimeRandom;
    private final SlotQueue<UpstreamExchange> slotQueue;
    private final LoadReport loadReport = new LoadReport();
    private final Map<UpstreamExchange, Future<?>> completionTimers = new HashMap<>();
    private long startedNanos;
    private boolean draining;
    private boolean unresponsive;

    UpstreamServer(UpstreamSpec spec, UpstreamEmulator emulator, UpstreamListener listener, long seed) {
        this.spec = spec;
        this.emulator = emulator;
        this.listener = listener;
        this.runCounts = emulator.runCounts();
        this.graySchedule = new GraySchedule(new Random(seed));
        this.serviceTimeRandom = new Random(~seed);
        this.slotQueue = new SlotQueue<>(spec.slots(), spec.queueLimit());
        this.startedNanos = emulator.nowNanos();
    }

    /** The byte at an index of the download with a path and query, for clients that verify what they received. */
    public static byte downloadByte(String path, long index) {
        return UpstreamResponse.byteAt(path, index);
    }

    /** Name of the server. */
    public String name() {
        return spec.name();
    }

    /** Name of the service that the server belongs to. */
    public String service() {
        return spec.service();
    }

    /** IP address and port; they do not change when the server crashes and restarts. */
    public String address() {
        return "127.0.0.1:" + listener.port();
    }

    /** Number of open connections. */
    public int openConnections() {
        return listener.openConnections();
    }

    /** Switches to a gray mode at once and discards the schedule. */
    public void setGrayMode(GrayMode mode) {
        graySchedule.set(mode);
    }

    /** Schedules a gray mode, which lasts until the next scheduled mode begins. */
    public void scheduleGrayMode(Duration fromNow, GrayMode mode) {
        graySchedule.schedule(emulator.nowNanos() + fromNow.toNanos(), mode);
    }

    /** Sets whether the server accepts requests to all endpoints without ever answering them. */
    public synchronized void setUnresponsive(boolean newUnresponsive) {
        unresponsive = newUnresponsive;
    }

    /** Sets whether the server refuses new work with status 503 and closes connections after responses to work. */
    public synchronized void setDraining(boolean newDraining) {
        draining = newDraining;
        recordLoad();
    }

    /** Sets how far the state that the health and load endpoints report lags behind the actual one. */
    public synchronized void setReportLag(Duration lag) {
        loadReport.setLag(lag);
    }

    /** Makes the health endpoint report a fixed state; null restores the actual one. */
    public synchronized void setReportedHealth(@Nullable Boolean healthy) {
        loadReport.overrideHealth(healthy);
    }

    /** Makes the load endpoint report a fixed number of running requests; null restores the actual one. */
    public synchronized void setReportedLoad(@Nullable Integer running) {
        loadReport.overrideLoad(running);
    }

    /** Resets all connections and refuses new ones for the crash downtime. */
    public void crash() {
        synchronized (this) {
            completionTimers.values().forEach(timer -> timer.cancel(false));
            completionTimers.clear();
            slotQueue.clear();
        }
        listener.refuseConnections();
        Future<?> unused = emulator.schedule(spec.crashDowntime(), this::restart);
    }

    private void restart() {
        synchronized (this) {
            startedNanos = emulator.nowNanos();
            recordLoad();
        }
        listener.acceptConnections();
    }

    void handle(UpstreamExchange exchange) {
        String path = exchange.request().getPath();
        if (!exchange.header("Authorization").isEmpty()) {
            runCounts.countAuthorizationHeader();
        }
        synchronized (this) {
            if (unresponsive) {
                return;
            }
            ObjectNode endpoint = statusEndpoint(path);
            if (endpoint != null) {
                int status = path.equals("/health") && !endpoint.path("healthy").asBoolean() ? 503 : 200;
                reply(exchange, UpstreamResponse.json(status, List.of(), endpoint.toString()), false, false);
                return;
            }
            if (!isCrashRequest(exchange)) {
                enqueue(exchange);
                return;
            }
        }
        runCounts.countRun(exchange.header("Operation-Id"));
        crash();
    }

    /** Releases the slot or queue entry of an exchange; counts it as cancelled if it was still being executed. */
    void release(UpstreamExchange exchange) {
        synchronized (this) {
            Future<?> timer = completionTimers.remove(exchange);
            if (timer != null) {
                timer.cancel(false);
                runCounts.countCancelled();
            }
            slotQueue.remove(exchange);
            startQueued();
        }
    }

    private @Nullable ObjectNode statusEndpoint(String path) {
        LoadReport.Sample reported = loadReport.reportedAt(emulator.nowNanos());
        return switch (path) {
            case "/health" -> MAPPER.createObjectNode().put("healthy", reported.accepting());
            case "/load" ->
                MAPPER.createObjectNode()
                        .put("slots", spec.slots())
                        .put("running", reported.running())
                        .put("queued", reported.queued());
            case "/admin/ledger" -> runCounts.toJson();
            default -> null;
        };
    }

    private void enqueue(UpstreamExchange exchange) {
        if (draining) {
            shed(exchange, true);
            return;
        }
        long deadline = deadlineNanos(exchange);
        switch (slotQueue.offer(exchange, deadline)) {
            case STARTED -> startWork(exchange);
            case SHED -> shed(exchange, false);
            default -> recordLoad();
        }
    }

    private void startWork(UpstreamExchange exchange) {
        long now = emulator.nowNanos();
        int run = runCounts.countRun(exchange.header("Operation-Id"));
        FaultDecision fault = graySchedule.decide(now);
        recordLoad();
        if (fault.ending() == Ending.UNANSWERED) {
            // Occupies its slot until the caller disconnects; the inert timer marks the request as one to cancel.
            completionTimers.put(exchange, emulator.inertTimer());
            return;
        }
        Duration work = drawServiceTime(exchange, now).plus(fault.extraServiceTime());
        Duration remaining = Duration.ofNanos(exchange.deadline() - now);
        boolean timedOut = work.compareTo(remaining) > 0;
        Duration occupied = timedOut ? remaining : work;
        completionTimers.put(exchange, emulator.schedule(occupied, () -> finishWork(exchange, fault, run, timedOut)));
    }

    private synchronized void finishWork(UpstreamExchange exchange, FaultDecision fault, int run, boolean timedOut) {
        if (completionTimers.remove(exchange) == null) {
            return;
        }
        slotQueue.remove(exchange);
        startQueued();
        boolean truncated = fault.ending() == Ending.TRUNCATED;
        UpstreamResponse response = buildResponse(exchange, fault, run, timedOut);
        boolean closing = draining;
        Future<?> unused = emulator.schedule(fault.responseDelay(), () -> exchange.send(response, truncated, closing));
    }

    /** Sends on the timer thread, since sending while holding this server's monitor could deadlock with the reactor. */
    private void reply(UpstreamExchange exchange, UpstreamResponse response, boolean truncated, boolean closing) {
        Future<?> unused = emulator.schedule(Duration.ZERO, () -> exchange.send(response, truncated, closing));
    }

    private void startQueued() {
        SlotQueue.Dequeued<UpstreamExchange> next = slotQueue.next(emulator.nowNanos());
        while (next != null) {
            if (next.expired()) {
                shed(next.work(), false);
            } else {
                startWork(next.work());
            }
            next = slotQueue.next(emulator.nowNanos());
        }
        recordLoad();
    }

    private void shed(UpstreamExchange exchange, boolean closing) {
        runCounts.countShed();
        List<Header> headers = new ArrayList<>(identityHeaders(exchange));
        headers.add(new BasicHeader("Retry-After", RETRY_AFTER_SECONDS));
        reply(exchange, UpstreamResponse.json(503, headers, "{\"ran\":false}"), false, closing);
    }

    private UpstreamResponse buildResponse(UpstreamExchange exchange, FaultDecision fault, int run, boolean timedOut) {
        List<Header> headers = identityHeaders(exchange);
        if (timedOut || fault.ending() == Ending.FAILED) {
            return UpstreamResponse.json(timedOut ? 504 : 500, headers, "{\"ran\":true}");
        }
        String path = exchange.request().getPath();
        long size = queryParameter(path, "size");
        if (size >= 0) {
            return UpstreamResponse.download(exchange.request(), path, size, headers);
        }
        ObjectNode body = MAPPER.createObjectNode()
                .put("server", spec.name())
                .put("service", spec.service())
                .put("method", exchange.request().getMethod())
                .put("path", path)
                .put("operationId", exchange.header("Operation-Id"))
                .put("run", run);
        return UpstreamResponse.json(200, headers, body.toString());
    }

    private List<Header> identityHeaders(UpstreamExchange exchange) {
        List<Header> headers = new ArrayList<>();
        headers.add(new BasicHeader("Upstream-Server", spec.name()));
        headers.add(new BasicHeader("Upstream-Path", exchange.request().getPath()));
        String operationId = exchange.header("Operation-Id");
        if (!operationId.isEmpty()) {
            headers.add(new BasicHeader("Operation-Id", operationId));
        }
        return headers;
    }

    private Duration drawServiceTime(UpstreamExchange exchange, long now) {
        long requestedMillis = queryParameter(exchange.request().getPath(), "workMillis");
        if (requestedMillis >= 0) {
            return Duration.ofMillis(requestedMillis);
        }
        Duration drawn = spec.serviceTime().draw(serviceTimeRandom);
        boolean cold = now - startedNanos < spec.coldStart().toNanos();
        return cold ? Duration.ofNanos((long) (drawn.toNanos() * spec.coldStartFactor())) : drawn;
    }

    private long deadlineNanos(UpstreamExchange exchange) {
        String millis = exchange.header("Auburnhoist-Deadline-Millis");
        long remaining =
                millis.matches("\\d{1,9}") ? Long.parseLong(millis) * NANOS_PER_MILLISECOND : Long.MAX_VALUE / 4;
        exchange.setDeadline(emulator.nowNanos() + remaining);
        return exchange.deadline();
    }

    private void recordLoad() {
        loadReport.record(emulator.nowNanos(), slotQueue.running(), slotQueue.queued(), !draining);
    }

    private static boolean isCrashRequest(UpstreamExchange exchange) {
        return exchange.request().getPath().contains(CRASH_MARKER)
                || exchange.bodyPrefix().contains(CRASH_MARKER);
    }

    /** The value of a numeric query parameter, -1 if it is absent. */
    private static long queryParameter(String path, String name) {
        int start = path.indexOf(name + "=");
        if (start < 0) {
            return -1;
        }
        int end = start + name.length() + 1;
        long value = 0;
        while (end < path.length() && Character.isDigit(path.charAt(end))) {
            value = value * 10 + (path.charAt(end) - '0');
            end++;
        }
        return value;
    }
}
