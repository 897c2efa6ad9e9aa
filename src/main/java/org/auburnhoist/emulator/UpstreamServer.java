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
import org.auburnhoist.emulator.GraySchedule.Treatment;
import org.jspecify.annotations.Nullable;

/**
 * One emulated upstream server. Its state is guarded by its monitor.
 *
 * <p>A request whose path or body contains {@value #CRASH_MARKER} crashes it. {@code ?size=N} asks for a download of N
 * bytes, {@code ?workMillis=N} for a fixed time in the slot. {@code Auburnhoist-Deadline-Millis} is the time left, in
 * milliseconds, when the request was sent.
 */
public final class UpstreamServer {
    /** Marks a request that crashes each server that runs it. */
    public static final String CRASH_MARKER = "crash-upstream";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final String RETRY_AFTER_SECONDS = "1";

    private final UpstreamSpec spec;
    private final UpstreamEmulator emulator;
    private final UpstreamListener listener;
    private final RunCounts ledger;
    private final GraySchedule graySchedule;
    private final Random serviceRandom;
    private final SlotQueue<UpstreamExchange> slots;
    private final LoadReport report = new LoadReport();
    private final Map<UpstreamExchange, Future<?>> finishing = new HashMap<>();
    private long startedNanos;
    private boolean draining;
    private boolean unresponsive;

    UpstreamServer(UpstreamSpec spec, UpstreamEmulator emulator, UpstreamListener listener, long seed) {
        this.spec = spec;
        this.emulator = emulator;
        this.listener = listener;
        this.ledger = emulator.runCounts();
        this.graySchedule = new GraySchedule(new Random(seed));
        this.serviceRandom = new Random(~seed);
        this.slots = new SlotQueue<>(spec.slots(), spec.queueLimit());
        this.startedNanos = emulator.nowNanos();
    }

    /** The byte at an index of the download with a path and query, for callers that check what they received. */
    public static byte downloadByte(String path, long index) {
        return UpstreamAnswer.byteAt(path, index);
    }

    /** The server's name. */
    public String name() {
        return spec.name();
    }

    /** The service that it belongs to. */
    public String service() {
        return spec.service();
    }

    /** IP address and port; it stays the same over crashes. */
    public String address() {
        return "127.0.0.1:" + listener.port();
    }

    /** Open connections. */
    public int openConnections() {
        return listener.openConnections();
    }

    /** Switches the gray mode and forgets the schedule. */
    public void setGrayMode(GrayMode mode) {
        graySchedule.set(mode);
    }

    /** Schedules a gray mode, which lasts until the next scheduled one. */
    public void scheduleGrayMode(Duration fromNow, GrayMode mode) {
        graySchedule.at(emulator.nowNanos() + fromNow.toNanos(), mode);
    }

    /** Makes every endpoint accept requests and never answer, or answer again. */
    public synchronized void setUnresponsive(boolean unanswered) {
        unresponsive = unanswered;
    }

    /** Refuses new work with 503 and closes connections after answers, or ends that. */
    public synchronized void setDraining(boolean leaving) {
        draining = leaving;
        recordLoad();
    }

    /** Makes the health and load endpoints tell the state of some time ago. */
    public synchronized void setReportLag(Duration lag) {
        report.lag(lag);
    }

    /** Makes the health endpoint tell a fixed state, null for the true one. */
    public synchronized void setReportedHealth(@Nullable Boolean healthy) {
        report.claimHealth(healthy);
    }

    /** Makes the load endpoint tell a fixed number of running requests, null for the true one. */
    public synchronized void setReportedLoad(@Nullable Integer running) {
        report.claimLoad(running);
    }

    /** Resets all connections and refuses new ones for the crash downtime. */
    public void crash() {
        synchronized (this) {
            finishing.values().forEach(timer -> timer.cancel(false));
            finishing.clear();
            slots.clear();
        }
        listener.refuse();
        Future<?> unused = emulator.after(spec.crashDowntime(), this::restart);
    }

    private void restart() {
        synchronized (this) {
            startedNanos = emulator.nowNanos();
            recordLoad();
        }
        listener.accept();
    }

    void begin(UpstreamExchange exchange) {
        String path = exchange.request().getPath();
        if (!exchange.header("Authorization").isEmpty()) {
            ledger.authorizationSeen();
        }
        synchronized (this) {
            if (unresponsive) {
                return;
            }
            ObjectNode endpoint = endpoint(path);
            if (endpoint != null) {
                int status = path.equals("/health") && !endpoint.path("healthy").asBoolean() ? 503 : 200;
                reply(exchange, UpstreamAnswer.text(status, List.of(), endpoint.toString()), false, false);
                return;
            }
            if (!isCrash(exchange)) {
                offer(exchange);
                return;
            }
        }
        ledger.ran(exchange.header("Operation-Id"));
        crash();
    }

    /** Frees what the exchange holds; it was cancelled if its answer had not been sent. */
    void ended(UpstreamExchange exchange) {
        synchronized (this) {
            Future<?> timer = finishing.remove(exchange);
            if (timer != null) {
                timer.cancel(false);
                ledger.cancelledOne();
            }
            slots.remove(exchange);
            startQueued();
        }
    }

    private @Nullable ObjectNode endpoint(String path) {
        LoadReport.Sample told = report.told(emulator.nowNanos());
        return switch (path) {
            case "/health" -> MAPPER.createObjectNode().put("healthy", told.accepting());
            case "/load" ->
                MAPPER.createObjectNode()
                        .put("slots", spec.slots())
                        .put("running", told.running())
                        .put("queued", told.queued());
            case "/admin/ledger" -> ledger.json();
            default -> null;
        };
    }

    private void offer(UpstreamExchange exchange) {
        if (draining) {
            shed(exchange, true);
            return;
        }
        long deadline = deadlineNanos(exchange);
        switch (slots.offer(exchange, deadline)) {
            case STARTED -> start(exchange);
            case SHED -> shed(exchange, false);
            default -> recordLoad();
        }
    }

    private void start(UpstreamExchange exchange) {
        long now = emulator.nowNanos();
        int run = ledger.ran(exchange.header("Operation-Id"));
        Treatment treatment = graySchedule.decide(now);
        recordLoad();
        if (treatment.ending() == Ending.NEVER) {
            // Held until the caller leaves; the timer only marks it as work that can be cancelled.
            finishing.put(exchange, emulator.never());
            return;
        }
        Duration work = workTime(exchange, now).plus(treatment.extraWork());
        Duration left = Duration.ofNanos(exchange.deadline() - now);
        boolean late = work.compareTo(left) > 0;
        Duration busy = late ? left : work;
        finishing.put(exchange, emulator.after(busy, () -> finish(exchange, treatment, run, late)));
    }

    private synchronized void finish(UpstreamExchange exchange, Treatment treatment, int run, boolean late) {
        if (finishing.remove(exchange) == null) {
            return;
        }
        slots.remove(exchange);
        startQueued();
        boolean truncated = treatment.ending() == Ending.TRUNCATED;
        UpstreamAnswer answer = answer(exchange, treatment, run, late);
        boolean closing = draining;
        Future<?> unused = emulator.after(treatment.answerDelay(), () -> exchange.send(answer, truncated, closing));
    }

    /** Sends from the timer thread, since sending under this server's monitor could deadlock with the reactor. */
    private void reply(UpstreamExchange exchange, UpstreamAnswer answer, boolean truncated, boolean closing) {
        Future<?> unused = emulator.after(Duration.ZERO, () -> exchange.send(answer, truncated, closing));
    }

    private void startQueued() {
        SlotQueue.Next<UpstreamExchange> next = slots.next(emulator.nowNanos());
        while (next != null) {
            if (next.expired()) {
                shed(next.work(), false);
            } else {
                start(next.work());
            }
            next = slots.next(emulator.nowNanos());
        }
        recordLoad();
    }

    private void shed(UpstreamExchange exchange, boolean closing) {
        ledger.shedOne();
        List<Header> headers = new ArrayList<>(identity(exchange));
        headers.add(new BasicHeader("Retry-After", RETRY_AFTER_SECONDS));
        reply(exchange, UpstreamAnswer.text(503, headers, "{\"ran\":false}"), false, closing);
    }

    private UpstreamAnswer answer(UpstreamExchange exchange, Treatment treatment, int run, boolean late) {
        List<Header> headers = identity(exchange);
        if (late || treatment.ending() == Ending.FAILED) {
            return UpstreamAnswer.text(late ? 504 : 500, headers, "{\"ran\":true}");
        }
        String path = exchange.request().getPath();
        long size = parameter(path, "size");
        if (size >= 0) {
            return UpstreamAnswer.download(exchange.request(), path, size, headers);
        }
        ObjectNode body = MAPPER.createObjectNode()
                .put("server", spec.name())
                .put("service", spec.service())
                .put("method", exchange.request().getMethod())
                .put("path", path)
                .put("operationId", exchange.header("Operation-Id"))
                .put("run", run);
        return UpstreamAnswer.text(200, headers, body.toString());
    }

    private List<Header> identity(UpstreamExchange exchange) {
        List<Header> headers = new ArrayList<>();
        headers.add(new BasicHeader("Upstream-Server", spec.name()));
        headers.add(new BasicHeader("Upstream-Path", exchange.request().getPath()));
        String operationId = exchange.header("Operation-Id");
        if (!operationId.isEmpty()) {
            headers.add(new BasicHeader("Operation-Id", operationId));
        }
        return headers;
    }

    private Duration workTime(UpstreamExchange exchange, long now) {
        long asked = parameter(exchange.request().getPath(), "workMillis");
        if (asked >= 0) {
            return Duration.ofMillis(asked);
        }
        Duration drawn = spec.serviceTime().draw(serviceRandom);
        boolean cold = now - startedNanos < spec.coldStart().toNanos();
        return cold ? Duration.ofNanos((long) (drawn.toNanos() * spec.coldStartFactor())) : drawn;
    }

    private long deadlineNanos(UpstreamExchange exchange) {
        String millis = exchange.header("Auburnhoist-Deadline-Millis");
        long left = millis.matches("\\d{1,9}") ? Long.parseLong(millis) * NANOS_PER_MILLISECOND : Long.MAX_VALUE / 4;
        exchange.deadline(emulator.nowNanos() + left);
        return exchange.deadline();
    }

    private void recordLoad() {
        report.record(emulator.nowNanos(), slots.running(), slots.queued(), !draining);
    }

    private static boolean isCrash(UpstreamExchange exchange) {
        return exchange.request().getPath().contains(CRASH_MARKER)
                || exchange.bodyStart().contains(CRASH_MARKER);
    }

    /** A numeric query parameter, -1 if it is absent. */
    private static long parameter(String path, String name) {
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
