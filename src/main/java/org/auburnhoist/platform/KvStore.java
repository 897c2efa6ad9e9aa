package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.platform.KvTransport.Reply;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.store.WriteResult;

/** The platform's store behind the product's interface. */
final class KvStore implements Store {
    /** The store answers within milliseconds; fifty times slower, it still does so within this time. */
    private static final Duration CALL_LIMIT = Duration.ofSeconds(1);
    /** A waiting watch is one call, whatever its length; a broken connection shows by keep-alive probes. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(10);

    private static final Duration WATCH_RETRY = Duration.ofMillis(500);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int CONFLICT = 412;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final KvTransport transport;

    KvStore(InetSocketAddress address) {
        this.transport = new KvTransport(address);
    }

    @Override
    public CompletableFuture<ReadResult> get(String key) {
        return transport
                .call("GET", "/api/kv-key?key=" + encode(key), null, CALL_LIMIT)
                .thenApply(reply -> {
                    if (reply.status() == NOT_FOUND) {
                        return new ReadResult.Found(
                                List.of(), reply.body().path("current_rev").asLong(0));
                    }
                    if (reply.status() != OK) {
                        return new ReadResult.Unavailable(reply.describe());
                    }
                    return new ReadResult.Found(
                            List.of(entry(reply.body())),
                            reply.body().path("current_rev").asLong(0));
                });
    }

    @Override
    public CompletableFuture<ReadResult> range(String prefix) {
        return page(prefix, "", new ArrayList<>(), Long.MAX_VALUE);
    }

    private CompletableFuture<ReadResult> page(String prefix, String after, List<Entry> read, long revision) {
        String path =
                "/api/kv-range?path_prefix=" + encode(prefix) + (after.isEmpty() ? "" : "&after=" + encode(after));
        return transport.call("GET", path, null, CALL_LIMIT).thenCompose(reply -> {
            if (reply.status() != OK) {
                return CompletableFuture.completedFuture(new ReadResult.Unavailable(reply.describe()));
            }
            reply.body().path("items").forEach(item -> read.add(entry(item)));
            // Pages are not a snapshot; what was read is at least as new as the first page.
            long oldest = Math.min(revision, reply.body().path("current_rev").asLong(0));
            if (reply.body().path("has_more").asBoolean(false) && !read.isEmpty()) {
                return page(prefix, read.get(read.size() - 1).key(), read, oldest);
            }
            return CompletableFuture.completedFuture(new ReadResult.Found(read, oldest));
        });
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(String key, long expectedRevision, byte[] value) {
        return compareAndSwap(key, expectedRevision, value, 0);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId) {
        ObjectNode body = conditional(key, expectedRevision);
        body.putArray("puts")
                .addObject()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(value))
                .put("lease", leaseId);
        body.putArray("remove");
        return write(key, body);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndDelete(String key, long expectedRevision) {
        ObjectNode body = conditional(key, expectedRevision);
        body.putArray("puts");
        body.putArray("remove").add(key);
        return write(key, body);
    }

    private static ObjectNode conditional(String key, long expectedRevision) {
        ObjectNode body = Json.object();
        ArrayNode expected = body.putArray("expected_revision");
        expected.addObject().put("key", key).put("revision", expectedRevision);
        return body;
    }

    private CompletableFuture<WriteResult> write(String key, ObjectNode body) {
        return transport.call("POST", "/api/kv-txn", body, CALL_LIMIT).thenApply(reply -> {
            switch (reply.status()) {
                case OK:
                    return new WriteResult.Done(reply.body().path("revision").asLong());
                case CONFLICT:
                    return new WriteResult.Conflict(presentRevision(reply, key));
                case NOT_FOUND:
                    return new WriteResult.NotDone("the lease has ended");
                case UNAVAILABLE, TOO_MANY:
                    return new WriteResult.NotDone(reply.describe());
                default:
                    return new WriteResult.OutcomeUnknown(reply.describe());
            }
        });
    }

    private static long presentRevision(Reply reply, String key) {
        for (JsonNode item : reply.body().path("items")) {
            if (item.path("key").asText().equals(key)) {
                return item.path("revision").asLong(0);
            }
        }
        return 0;
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
        ObjectNode body = Json.object().put("ttl_ms", timeToLive.toMillis());
        return transport.call("POST", "/api/kv-lease", body, CALL_LIMIT).thenApply(reply -> leaseResult(reply, 0));
    }

    @Override
    public CompletableFuture<LeaseResult> keepAlive(long leaseId) {
        return transport
                .call("POST", "/api/kv-keep/" + leaseId, Json.object(), CALL_LIMIT)
                .thenApply(reply -> leaseResult(reply, leaseId));
    }

    private static LeaseResult leaseResult(Reply reply, long leaseId) {
        if (reply.status() == OK) {
            return new LeaseResult.Granted(
                    reply.body().path("lease").asLong(leaseId),
                    Duration.ofMillis(reply.body().path("ttl_ms").asLong(0)));
        }
        return reply.status() == NOT_FOUND ? new LeaseResult.Expired() : new LeaseResult.Unavailable(reply.describe());
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        Watch watch = new Watch(prefix, listener);
        watch.readAgain();
        return watch;
    }

    @Override
    public void close() {
        transport.close();
    }

    private static Entry entry(JsonNode item) {
        byte[] value;
        try {
            value = item.path("value").binaryValue();
        } catch (IOException malformed) {
            value = new byte[0];
        }
        return new Entry(
                item.path("key").asText(),
                value == null ? new byte[0] : value,
                item.path("revision").asLong());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** One call after the other, each from where the last one ended. */
    private final class Watch implements AutoCloseable {
        private final String prefix;
        private final WatchListener listener;
        private volatile boolean closed;

        Watch(String prefix, WatchListener listener) {
            this.prefix = prefix;
            this.listener = listener;
        }

        /** Learns the present revision; the listener reads by itself what stands there. */
        private void readAgain() {
            if (closed) {
                return;
            }
            range(prefix).thenAccept(result -> {
                if (result instanceof ReadResult.Found found) {
                    found.entries().forEach(listener::changed);
                    await(found.revision());
                } else {
                    later();
                }
            });
        }

        private void await(long revision) {
            if (closed) {
                return;
            }
            String path = "/api/kv-watch?path_prefix=" + encode(prefix) + "&after=" + revision + "&wait_ms="
                    + WATCH_WAIT.toMillis();
            transport.call("GET", path, null, WATCH_WAIT.plus(CALL_LIMIT)).thenAccept(reply -> {
                if (closed) {
                    return;
                }
                if (reply.status() == OK) {
                    reply.body().path("events").forEach(this::tell);
                    await(Math.max(revision, reply.body().path("current_rev").asLong(revision)));
                } else if (reply.status() == GONE) {
                    readAgain();
                } else {
                    listener.interrupted();
                    later();
                }
            });
        }

        private void tell(JsonNode event) {
            if (event.path("removed").asBoolean(false)) {
                listener.deleted(event.path("key").asText());
            } else {
                listener.changed(entry(event));
            }
        }

        private void later() {
            CompletableFuture.delayedExecutor(WATCH_RETRY.toMillis(), TimeUnit.MILLISECONDS)
                    .execute(this::readAgain);
        }

        @Override
        public void close() {
            closed = true;
        }
    }
}
