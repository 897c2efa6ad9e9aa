package org.auburnhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.auburnhoist.core.StorePosition;

/**
 * Client of the platform's etcd store, over the HTTP/JSON gateway of the etcd v3 API.
 *
 * <pre>{@code
 * Store store = EtcdStore.builder()
 *         .endpoint(URI.create("http://127.0.0.1:2379"))
 *         .callLimit(Duration.ofSeconds(2))
 *         .random(random)
 *         .build();
 * store.get(StoreKeys.ROSTER).thenAccept(result -> ...);
 * }</pre>
 *
 * <p>Reads and lease calls try each endpoint in turn. A write is executed at most once: it is sent to another endpoint
 * only if the previous one provably did not execute it. Results and watch events arrive on the client's own threads, so
 * listeners must not block.
 */
public final class EtcdStore implements Store {
    private static final String RANGE = "/v3/kv/range";
    private static final String TRANSACTION = "/v3/kv/txn";

    private final EtcdTransport transport;
    private final StoreCallCounts counts;
    private final Builder settings;
    private final ExecutorService executor;
    private final Set<EtcdWatch> watches = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    private EtcdStore(Builder settings) {
        this.settings = settings;
        this.counts = settings.counts;
        this.executor = executor();
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(settings.connectLimit)
                .executor(executor)
                .build();
        this.transport = new EtcdTransport(settings.endpoints, settings.callLimit, client, counts);
    }

    /** Creates a builder that has no endpoint yet and uses the default timeouts. */
    public static Builder builder() {
        return new Builder();
    }

    /** Calls made so far, by kind; each attempt at an endpoint counts. */
    public StoreCallCounts counts() {
        return counts;
    }

    @Override
    public CompletableFuture<ReadResult> get(String key) {
        return read(EtcdJson.get(key));
    }

    @Override
    public CompletableFuture<ReadResult> range(String prefix) {
        return read(EtcdJson.range(prefix));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(String key, StorePosition expected, byte[] value) {
        return compareAndSwap(key, expected, value, 0);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, StorePosition expected, byte[] value, long leaseId) {
        if (value.length > MAX_VALUE_BYTES) {
            return CompletableFuture.completedFuture(new WriteResult.NotDone(
                    "value: expected at most " + MAX_VALUE_BYTES + " bytes, got " + value.length));
        }
        return write(EtcdJson.transaction(key, expected.revision(), "request_put", EtcdJson.put(key, value, leaseId)));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndDelete(String key, StorePosition expected) {
        return write(EtcdJson.transaction(key, expected.revision(), "request_delete_range", EtcdJson.get(key)));
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
        return call(StoreCallKind.LEASE, "/v3/lease/grant", EtcdJson.grant(timeToLive), EtcdStore::leaseResult);
    }

    @Override
    public CompletableFuture<LeaseResult> keepAlive(long leaseId) {
        return call(StoreCallKind.LEASE, "/v3/lease/keepalive", EtcdJson.keepAlive(leaseId), EtcdStore::leaseResult);
    }

    /**
     * {@inheritDoc}
     *
     * <p>{@link WatchListener#resyncRequired()} is called each time the watch is established, also the first time:
     * changes between an earlier read and that moment would be missed otherwise.
     */
    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        if (closed) {
            throw new IllegalStateException("cannot start a watch after the client was closed, prefix: " + prefix);
        }
        Backoff backoff = new Backoff(settings.initialBackoff, settings.maximumBackoff, settings.random);
        EtcdWatch watch = new EtcdWatch(transport, prefix, listener, backoff, executor);
        watches.add(watch);
        watch.connect();
        return () -> {
            watches.remove(watch);
            watch.close();
        };
    }

    /** Ends all watches; calls in progress complete within their time limit. */
    @Override
    public void close() {
        closed = true;
        watches.forEach(EtcdWatch::close);
        watches.clear();
    }

    private CompletableFuture<ReadResult> read(ObjectNode request) {
        return call(StoreCallKind.READ, RANGE, request, EtcdStore::readResult);
    }

    private <R> CompletableFuture<R> call(
            StoreCallKind kind, String path, ObjectNode request, Function<CallResult, R> convert) {
        if (closed) {
            return CompletableFuture.completedFuture(convert.apply(new CallResult.NotDone("the client is closed")));
        }
        return transport.callRetryable(kind, path, request).thenApply(convert);
    }

    private CompletableFuture<WriteResult> write(ObjectNode request) {
        if (closed) {
            return CompletableFuture.completedFuture(new WriteResult.NotDone("the client is closed"));
        }
        return transport
                .callAtMostOnce(StoreCallKind.WRITE, TRANSACTION, request)
                .thenApply(EtcdStore::writeResult);
    }

    private static ReadResult readResult(CallResult result) {
        if (result instanceof CallResult.Answered answered) {
            long revision = EtcdJson.revision(answered.body());
            if (revision <= 0) {
                return new ReadResult.Unavailable("expected a response with a revision, got " + answered.body());
            }
            try {
                return new ReadResult.Found(EtcdJson.entries(answered.body()), StorePosition.ofRevision(revision));
            } catch (IllegalArgumentException cause) {
                return new ReadResult.Unavailable("invalid base64 in the response: " + cause.getMessage());
            }
        }
        return new ReadResult.Unavailable(reason(result));
    }

    private static WriteResult writeResult(CallResult result) {
        if (result instanceof CallResult.NotDone notDone) {
            return new WriteResult.NotDone(notDone.reason());
        }
        if (!(result instanceof CallResult.Answered answered)) {
            return new WriteResult.OutcomeUnknown(reason(result));
        }
        long revision = EtcdJson.revision(answered.body());
        if (revision <= 0) {
            return new WriteResult.OutcomeUnknown("expected a response with a revision, got " + answered.body());
        }
        if (answered.body().path("succeeded").asBoolean()) {
            return new WriteResult.Done(StorePosition.ofRevision(revision));
        }
        JsonNode current = answered.body().path("responses").path(0).path("response_range");
        return new WriteResult.Conflict(StorePosition.ofRevision(
                current.path("kvs").path(0).path("mod_revision").asLong()));
    }

    private static LeaseResult leaseResult(CallResult result) {
        if (!(result instanceof CallResult.Answered answered)) {
            return new LeaseResult.Unavailable(reason(result));
        }
        // The response to a keep-alive is a stream of "result" objects; the response to a grant is not wrapped.
        JsonNode lease = answered.body().has("result") ? answered.body().path("result") : answered.body();
        long leaseId = lease.path("ID").asLong();
        long seconds = lease.path("TTL").asLong();
        if (leaseId == 0) {
            return new LeaseResult.Unavailable("expected a response with a lease, got " + answered.body());
        }
        return seconds > 0
                ? new LeaseResult.Granted(leaseId, Duration.ofSeconds(seconds), 0)
                : new LeaseResult.Expired();
    }

    private static String reason(CallResult result) {
        if (result instanceof CallResult.NotDone notDone) {
            return notDone.reason();
        }
        return result instanceof CallResult.Unknown unknown ? unknown.reason() : "answered";
    }

    /** Daemon threads that end when idle, so that close need not wait for calls in progress. */
    private static ExecutorService executor() {
        ThreadPoolExecutor executor =
                new ThreadPoolExecutor(2, 2, 10, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
                    Thread thread = new Thread(task, "store-client");
                    thread.setDaemon(true);
                    return thread;
                });
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }

    /** Builder of a client. */
    public static final class Builder {
        private final List<URI> endpoints = new ArrayList<>();
        private Duration callLimit = Duration.ofSeconds(2);
        private Duration connectLimit = Duration.ofSeconds(1);
        private Duration initialBackoff = Duration.ofMillis(200);
        private Duration maximumBackoff = Duration.ofSeconds(10);
        private RandomGenerator random = RandomGenerator.getDefault();
        private StoreCallCounts counts = new StoreCallCounts();

        private Builder() {}

        /** Adds an endpoint, for example {@code http://127.0.0.1:2379}; at least one is needed. */
        public Builder endpoint(URI endpoint) {
            endpoints.add(endpoint);
            return this;
        }

        /** Timeout of a read over all endpoints, and of a write at one endpoint. */
        public Builder callLimit(Duration limit) {
            callLimit = positive("callLimit", limit);
            return this;
        }

        /** Timeout for establishing a connection. */
        public Builder connectLimit(Duration limit) {
            connectLimit = positive("connectLimit", limit);
            return this;
        }

        /** Initial and maximum delay before an interrupted watch is established again. */
        public Builder backoff(Duration initial, Duration maximum) {
            initialBackoff = positive("initial", initial);
            maximumBackoff = positive("maximum", maximum);
            return this;
        }

        /** Source of random numbers for the jitter of the back-off. */
        public Builder random(RandomGenerator generator) {
            random = generator;
            return this;
        }

        /** Counters to which each call is added. */
        public Builder counts(StoreCallCounts callCounts) {
            counts = callCounts;
            return this;
        }

        /** Creates the client; connections are opened by the first call. */
        public EtcdStore build() {
            if (endpoints.isEmpty()) {
                throw new IllegalStateException("endpoint: expected at least one, got none");
            }
            return new EtcdStore(this);
        }

        private static Duration positive(String name, Duration duration) {
            if (duration.isNegative() || duration.isZero()) {
                throw new IllegalArgumentException(name + ": expected a positive duration, got " + duration);
            }
            return duration;
        }
    }
}
