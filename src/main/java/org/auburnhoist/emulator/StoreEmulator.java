package org.auburnhoist.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.auburnhoist.store.StoreCallCounts;
import org.auburnhoist.store.StoreCallKind;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the platform's store: the subset of the etcd v3 HTTP/JSON protocol that {@code EtcdStore} uses, on
 * loopback, with faults.
 *
 * <pre>{@code
 * StoreEmulator emulator = StoreEmulator.builder().start();
 * Store store = EtcdStore.builder().endpoint(emulator.address()).build();
 * emulator.fault(StoreCallKind.WRITE, new StoreFault.LoseAnswer());
 * emulator.refuseConnections();
 * emulator.acceptConnections();
 * }</pre>
 *
 * <p>Keys, leases and revisions are kept while connections are refused.
 */
public final class StoreEmulator implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final StoreState state = new StoreState();
    private final StoreCallCounts counts = new StoreCallCounts();
    private final Map<StoreCallKind, ActiveFault> faults = new EnumMap<>(StoreCallKind.class);
    private final Map<StoreState.Watch, BlockingQueue<Optional<ObjectNode>>> streams = new ConcurrentHashMap<>();
    private final LoopbackServer server;
    private final LongSupplier clock;
    private final @Nullable ScheduledExecutorService ticker;
    private volatile CountDownLatch release = new CountDownLatch(1);

    private StoreEmulator(Builder settings) throws IOException {
        LongSupplier injected = settings.clock;
        this.clock = injected == null ? System::nanoTime : injected;
        this.server = new LoopbackServer(settings.port, this::handle);
        this.ticker = injected == null ? startTicker() : null;
    }

    /** Starts with a free port and the process's monotonic clock. */
    public static Builder builder() {
        return new Builder();
    }

    /** Base address for clients; it stays the same while connections are refused. */
    public URI address() {
        return server.address();
    }

    /** Calls that reached the emulator, also those that a fault left unanswered. */
    public StoreCallCounts counts() {
        return counts;
    }

    /** Watches that wait now. */
    public int openWatches() {
        return state.watchCount();
    }

    /** Revision of the last change. */
    public long revision() {
        return state.revision();
    }

    /** Sets a fault for all calls of a kind, until it is replaced. */
    public void injectFault(StoreCallKind kind, StoreFault fault) {
        setFault(kind, new ActiveFault(fault, Integer.MAX_VALUE));
    }

    /** Sets a fault for the next call of a kind. */
    public void injectFaultOnce(StoreCallKind kind, StoreFault fault) {
        setFault(kind, new ActiveFault(fault, 1));
    }

    /** Sets a fault for all calls of every kind. */
    public void injectFaultForAllCalls(StoreFault fault) {
        for (StoreCallKind kind : StoreCallKind.values()) {
            injectFault(kind, fault);
        }
    }

    /** Ends all faults; calls that wait because of one are closed without an answer. */
    public void clearFaults() {
        synchronized (faults) {
            faults.clear();
        }
        CountDownLatch waiting = release;
        release = new CountDownLatch(1);
        waiting.countDown();
    }

    /** Resets all connections and refuses new ones. */
    public void refuseConnections() {
        server.refuse();
        clearWaiting();
    }

    /** Accepts connections again, at the same address. */
    public void acceptConnections() throws IOException {
        server.accept();
    }

    /** Closes the connections of all watches, as a restart of one store member does. */
    public void interruptWatches() {
        clearWaiting();
    }

    /** Lets leases expire by the clock; needed after an injected clock has moved. */
    public void tick() {
        state.expireLeases(clock.getAsLong());
    }

    @Override
    public void close() {
        if (ticker != null) {
            ticker.shutdownNow();
        }
        clearFaults();
        clearWaiting();
        server.close();
    }

    private void setFault(StoreCallKind kind, ActiveFault fault) {
        synchronized (faults) {
            faults.put(kind, fault);
        }
    }

    private StoreFault takeFault(StoreCallKind kind) {
        synchronized (faults) {
            ActiveFault active = faults.get(kind);
            if (active == null || active.remaining() == 0) {
                return new StoreFault.None();
            }
            int left = active.remaining() == Integer.MAX_VALUE ? Integer.MAX_VALUE : active.remaining() - 1;
            faults.put(kind, new ActiveFault(active.fault(), left));
            return active.fault();
        }
    }

    private void clearWaiting() {
        streams.values().forEach(queue -> queue.add(Optional.empty()));
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        StoreCallKind kind = kind(request.getPath());
        if (kind == null || !request.getMethod().equals("POST")) {
            answerError(response, 404, 5, "Not Found");
            return;
        }
        counts.add(kind);
        JsonNode body = readBody(request);
        StoreFault fault = takeFault(kind);
        delayOrDrop(fault);
        if (fault instanceof StoreFault.Reject) {
            answerError(response, 403, 7, "etcdserver: permission denied");
            return;
        }
        state.expireLeases(clock.getAsLong());
        if (kind == StoreCallKind.WATCH) {
            answerWatch(response, body.path("create_request"));
            return;
        }
        try {
            answer(response, fault, carryOut(request.getPath(), body));
        } catch (StoreState.RejectedRequestException rejected) {
            answerError(response, 400, 3, String.valueOf(rejected.getMessage()));
        }
    }

    private ObjectNode carryOut(String path, JsonNode body) throws StoreState.RejectedRequestException {
        return switch (path) {
            case "/v3/kv/range" -> state.range(body);
            case "/v3/kv/txn" -> state.transaction(body);
            case "/v3/lease/grant" -> state.grant(body, clock.getAsLong());
            case "/v3/lease/keepalive" -> state.keepAlive(body, clock.getAsLong());
            default -> throw new StoreState.RejectedRequestException("path: expected a known one, got " + path);
        };
    }

    private void delayOrDrop(StoreFault fault) throws IOException {
        try {
            if (fault instanceof StoreFault.Slow slow) {
                Thread.sleep(slow.delay().toMillis());
            } else if (fault instanceof StoreFault.NeverAnswer) {
                release.await();
                throw new IOException("the fault ended; the call stays unanswered");
            } else if (fault instanceof StoreFault.DropRequest) {
                throw new IOException("the request is lost");
            }
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            throw new IOException("the emulator stops", cause);
        }
    }

    private static void answer(ClassicHttpResponse response, StoreFault fault, ObjectNode answer) throws IOException {
        if (fault instanceof StoreFault.DropResponse) {
            throw new IOException("the answer is lost");
        }
        if (fault instanceof StoreFault.TimeOutAfterEffect) {
            answerError(response, 503, 14, "etcdserver: request timed out");
            return;
        }
        response.setCode(200);
        response.setEntity(new ByteArrayEntity(MAPPER.writeValueAsBytes(answer), ContentType.APPLICATION_JSON));
    }

    private static void answerError(ClassicHttpResponse response, int status, int code, String message)
            throws IOException {
        ObjectNode error = MAPPER.createObjectNode()
                .put("error", message)
                .put("code", code)
                .put("message", message);
        response.setCode(status);
        response.setEntity(new ByteArrayEntity(MAPPER.writeValueAsBytes(error), ContentType.APPLICATION_JSON));
    }

    private void answerWatch(ClassicHttpResponse response, JsonNode createRequest) {
        response.setCode(200);
        response.setEntity(new EntityTemplate(
                -1, ContentType.APPLICATION_JSON, null, output -> writeWatch(createRequest, output)));
    }

    private void writeWatch(JsonNode createRequest, OutputStream output) throws IOException {
        BlockingQueue<Optional<ObjectNode>> queue = new LinkedBlockingQueue<>();
        StoreState.Watch watch = state.watch(createRequest, message -> queue.add(Optional.of(message)));
        streams.put(watch, queue);
        try {
            while (true) {
                Optional<ObjectNode> message = queue.take();
                if (message.isEmpty()) {
                    throw new IOException("the watch is interrupted");
                }
                output.write(MAPPER.writeValueAsBytes(message.get()));
                output.write("\n".getBytes(StandardCharsets.US_ASCII));
                output.flush();
            }
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            throw new IOException("the emulator stops", cause);
        } finally {
            streams.remove(watch);
            state.endWatch(watch);
        }
    }

    private static JsonNode readBody(ClassicHttpRequest request) throws IOException {
        if (request.getEntity() == null) {
            return MAPPER.createObjectNode();
        }
        try (InputStream content = request.getEntity().getContent()) {
            return MAPPER.readTree(content);
        }
    }

    private static @Nullable StoreCallKind kind(String path) {
        return switch (path) {
            case "/v3/kv/range" -> StoreCallKind.READ;
            case "/v3/kv/txn" -> StoreCallKind.WRITE;
            case "/v3/lease/grant", "/v3/lease/keepalive" -> StoreCallKind.LEASE;
            case "/v3/watch" -> StoreCallKind.WATCH;
            default -> null;
        };
    }

    private ScheduledExecutorService startTicker() {
        ScheduledExecutorService started = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "store-emulator-ticker");
            thread.setDaemon(true);
            return thread;
        });
        long interval = TICK_INTERVAL.toMillis();
        ScheduledFuture<?> unused = started.scheduleAtFixedRate(this::tick, interval, interval, TimeUnit.MILLISECONDS);
        return started;
    }

    private record ActiveFault(StoreFault fault, int remaining) {}

    /** Settings of an emulator. */
    public static final class Builder {
        private int port;
        private @Nullable LongSupplier clock;

        private Builder() {}

        /** Port on loopback, 0 for a free one. */
        public Builder port(int number) {
            port = number;
            return this;
        }

        /** Clock for leases, in nanoseconds; with it, leases expire only at calls and at {@link StoreEmulator#tick}. */
        public Builder clock(LongSupplier nanos) {
            clock = nanos;
            return this;
        }

        /** Starts the emulator. */
        public StoreEmulator start() throws IOException {
            return new StoreEmulator(this);
        }
    }
}
