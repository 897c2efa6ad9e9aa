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
 * Emulates the platform's store: serves the subset of the etcd v3 HTTP/JSON protocol that {@code EtcdStore} uses on
 * loopback, and injects faults.
 *
 * <pre>{@code
 * StoreEmulator emulator = StoreEmulator.builder().start();
 * Store store = EtcdStore.builder().endpoint(emulator.address()).build();
 * emulator.injectFault(StoreCallKind.WRITE, new StoreFault.DropResponse());
 * emulator.refuseConnections();
 * emulator.acceptConnections();
 * }</pre>
 *
 * <p>Keys, leases and revisions are retained while connections are refused.
 */
public final class StoreEmulator implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final StoreState state = new StoreState();
    private final StoreCallCounts counts = new StoreCallCounts();
    private final Map<StoreCallKind, ActiveFault> faults = new EnumMap<>(StoreCallKind.class);
    private final Map<StoreState.Watch, BlockingQueue<Optional<ObjectNode>>> watchQueues = new ConcurrentHashMap<>();
    private final LoopbackServer server;
    private final LongSupplier clock;
    private final @Nullable ScheduledExecutorService ticker;
    private volatile CountDownLatch faultsCleared = new CountDownLatch(1);

    private StoreEmulator(Builder settings) throws IOException {
        LongSupplier injectedClock = settings.clock;
        this.clock = injectedClock == null ? System::nanoTime : injectedClock;
        this.server = new LoopbackServer(settings.port, this::handle);
        this.ticker = injectedClock == null ? startTicker() : null;
    }

    /** Returns a builder with a free port and the monotonic clock of the process as defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Base URI for clients; it does not change when connections are refused and accepted again. */
    public URI address() {
        return server.address();
    }

    /** Counts of the calls that reached the emulator, including those that a fault left unanswered. */
    public StoreCallCounts counts() {
        return counts;
    }

    /** Number of open watches. */
    public int openWatches() {
        return state.watchCount();
    }

    /** Revision of the last modification. */
    public long revision() {
        return state.revision();
    }

    /** Injects a fault into all calls of a kind, until it is replaced or cleared. */
    public void injectFault(StoreCallKind kind, StoreFault fault) {
        setFault(kind, new ActiveFault(fault, Integer.MAX_VALUE));
    }

    /** Injects a fault into the next call of a kind. */
    public void injectFaultOnce(StoreCallKind kind, StoreFault fault) {
        setFault(kind, new ActiveFault(fault, 1));
    }

    /** Injects a fault into all calls of every kind. */
    public void injectFaultForAllCalls(StoreFault fault) {
        for (StoreCallKind kind : StoreCallKind.values()) {
            injectFault(kind, fault);
        }
    }

    /** Clears all faults; the connections of calls that a fault blocks are closed without a response. */
    public void clearFaults() {
        synchronized (faults) {
            faults.clear();
        }
        CountDownLatch blockedCalls = faultsCleared;
        faultsCleared = new CountDownLatch(1);
        blockedCalls.countDown();
    }

    /** Resets all connections and refuses new ones. */
    public void refuseConnections() {
        server.refuseConnections();
        closeWatches();
    }

    /** Accepts connections again, at the same address. */
    public void acceptConnections() throws IOException {
        server.acceptConnections();
    }

    /** Closes the connections of all watches, as the restart of a store member does. */
    public void interruptWatches() {
        closeWatches();
    }

    /** Expires leases whose time to live has passed; call it after advancing an injected clock. */
    public void tick() {
        state.expireLeases(clock.getAsLong());
    }

    @Override
    public void close() {
        if (ticker != null) {
            ticker.shutdownNow();
        }
        clearFaults();
        closeWatches();
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
            if (active == null || active.remainingCalls() == 0) {
                return new StoreFault.None();
            }
            int calls = active.remainingCalls() == Integer.MAX_VALUE ? Integer.MAX_VALUE : active.remainingCalls() - 1;
            faults.put(kind, new ActiveFault(active.fault(), calls));
            return active.fault();
        }
    }

    private void closeWatches() {
        watchQueues.values().forEach(queue -> queue.add(Optional.empty()));
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        StoreCallKind kind = callKind(request.getPath());
        if (kind == null || !request.getMethod().equals("POST")) {
            respondWithError(response, 404, 5, "Not Found");
            return;
        }
        counts.add(kind);
        JsonNode body = readBody(request);
        StoreFault fault = takeFault(kind);
        applyRequestFault(fault);
        if (fault instanceof StoreFault.Reject) {
            respondWithError(response, 403, 7, "etcdserver: permission denied");
            return;
        }
        state.expireLeases(clock.getAsLong());
        if (kind == StoreCallKind.WATCH) {
            respondToWatch(response, body.path("create_request"));
            return;
        }
        try {
            respond(response, fault, execute(request.getPath(), body));
        } catch (StoreState.RejectedRequestException rejected) {
            respondWithError(response, 400, 3, String.valueOf(rejected.getMessage()));
        }
    }

    private ObjectNode execute(String path, JsonNode body) throws StoreState.RejectedRequestException {
        return switch (path) {
            case "/v3/kv/range" -> state.range(body);
            case "/v3/kv/txn" -> state.transaction(body);
            case "/v3/lease/grant" -> state.grantLease(body, clock.getAsLong());
            case "/v3/lease/keepalive" -> state.renewLease(body, clock.getAsLong());
            default -> throw new StoreState.RejectedRequestException("path: expected a known one, got " + path);
        };
    }

    private void applyRequestFault(StoreFault fault) throws IOException {
        try {
            if (fault instanceof StoreFault.Slow slow) {
                Thread.sleep(slow.delay().toMillis());
            } else if (fault instanceof StoreFault.NeverAnswer) {
                faultsCleared.await();
                throw new IOException("the fault was cleared; the call is not answered");
            } else if (fault instanceof StoreFault.DropRequest) {
                throw new IOException("a fault drops the request");
            }
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while the emulator is closing", cause);
        }
    }

    private static void respond(ClassicHttpResponse response, StoreFault fault, ObjectNode result) throws IOException {
        if (fault instanceof StoreFault.DropResponse) {
            throw new IOException("a fault drops the response");
        }
        if (fault instanceof StoreFault.TimeOutAfterEffect) {
            respondWithError(response, 503, 14, "etcdserver: request timed out");
            return;
        }
        response.setCode(200);
        response.setEntity(new ByteArrayEntity(MAPPER.writeValueAsBytes(result), ContentType.APPLICATION_JSON));
    }

    private static void respondWithError(ClassicHttpResponse response, int status, int code, String message)
            throws IOException {
        ObjectNode error = MAPPER.createObjectNode()
                .put("error", message)
                .put("code", code)
                .put("message", message);
        response.setCode(status);
        response.setEntity(new ByteArrayEntity(MAPPER.writeValueAsBytes(error), ContentType.APPLICATION_JSON));
    }

    private void respondToWatch(ClassicHttpResponse response, JsonNode createRequest) {
        response.setCode(200);
        response.setEntity(new EntityTemplate(
                -1, ContentType.APPLICATION_JSON, null, output -> writeWatch(createRequest, output)));
    }

    private void writeWatch(JsonNode createRequest, OutputStream output) throws IOException {
        BlockingQueue<Optional<ObjectNode>> queue = new LinkedBlockingQueue<>();
        StoreState.Watch watch = state.createWatch(createRequest, message -> queue.add(Optional.of(message)));
        watchQueues.put(watch, queue);
        try {
            while (true) {
                Optional<ObjectNode> message = queue.take();
                if (message.isEmpty()) {
                    throw new IOException("the connection of the watch is being closed");
                }
                output.write(MAPPER.writeValueAsBytes(message.get()));
                output.write("\n".getBytes(StandardCharsets.US_ASCII));
                output.flush();
            }
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while the emulator is closing", cause);
        } finally {
            watchQueues.remove(watch);
            state.cancelWatch(watch);
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

    private static @Nullable StoreCallKind callKind(String path) {
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

    private record ActiveFault(StoreFault fault, int remainingCalls) {}

    /** Builds and starts an emulator. */
    public static final class Builder {
        private int port;
        private @Nullable LongSupplier clock;

        private Builder() {}

        /** Sets the loopback port; 0 selects a free one. */
        public Builder port(int number) {
            port = number;
            return this;
        }

        /** Sets the lease clock, in nanoseconds; leases then expire only at calls and {@link StoreEmulator#tick}. */
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
