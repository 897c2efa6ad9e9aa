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
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.platform.KvTransport.Reply;
import org.auburnhoist.store.Entry;
import org.auburnhoist.store.LeaseResult;
import org.auburnhoist.store.ReadResult;
import org.auburnhoist.store.Store;
import org.auburnhoist.store.WatchListener;
import org.auburnhoist.store.WriteResult;
import org.auburnhoist.support.Supervisor;
import org.jspecify.annotations.Nullable;

/** Client of the platform's key-value store. */
final class KvStore implements Store {
    /** The store responds within milliseconds, and within this time even when it is fifty times slower. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    /** A long poll counts as one call, however long it waits; keep-alive probes detect a broken connection. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(10);

    private static final Duration WATCH_RETRY_DELAY = Duration.ofMillis(500);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final KvTransport transport;

    KvStore(InetSocketAddress address) {
        this(address, Supervisor.withoutChecks());
    }

    KvStore(InetSocketAddress address, Supervisor supervisor) {
        this.transport = new KvTransport(address, supervisor);
    }

    @Override
    public CompletableFuture<ReadResult> get(String key) {
        return transport.read("/api/kv-key?key=" + encode(key), CALL_TIMEOUT).thenApply(reply -> {
            if (reply.status() == NOT_FOUND) {
                return new ReadResult.Found(List.of(), currentPosition(reply));
            }
            if (reply.status() != OK) {
                return new ReadResult.Unavailable(reply.describe());
            }
            return new ReadResult.Found(List.of(decodeEntry(reply.body(), reply.era())), currentPosition(reply));
        });
    }

    @Override
    public CompletableFuture<ReadResult> range(String prefix) {
        return readPages(prefix, "", new ArrayList<>(), null);
    }

    private CompletableFuture<ReadResult> readPages(
            String prefix, String afterKey, List<Entry> entries, @Nullable StorePosition earliest) {
        String path = "/api/kv-range?path_prefix=" + encode(prefix)
                + (afterKey.isEmpty() ? "" : "&after=" + encode(afterKey));
        return transport.read(path, CALL_TIMEOUT).thenCompose(reply -> {
            if (reply.status() != OK) {
                return CompletableFuture.completedFuture(new ReadResult.Unavailable(reply.describe()));
            }
            reply.body().path("items").forEach(item -> entries.add(decodeEntry(item, reply.era())));
            // Pages do not form a snapshot; the entries are at least as new as the earliest position of a page.
            StorePosition current = currentPosition(reply);
            if (earliest != null && current.era() != earliest.era()) {
                return CompletableFuture.completedFuture(
                        new ReadResult.Unavailable("the store was restored during the read"));
            }
            StorePosition position = earliest == null ? current : current.earlier(earliest);
            if (reply.body().path("has_more").asBoolean(false) && !entries.isEmpty()) {
                return readPages(prefix, entries.get(entries.size() - 1).key(), entries, position);
            }
            return CompletableFuture.completedFuture(new ReadResult.Found(entries, position));
        });
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(String key, StorePosition expected, byte[] value) {
        return compareAndSwap(key, expected, value, 0);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, StorePosition expected, byte[] value, long leaseId) {
        ObjectNode body = transactionBody(key, expected);
        body.putArray("puts")
                .addObject()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(value))
                .put("lease", leaseId);
        body.putArray("remove");
        return write(key, body);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndDelete(String key, StorePosition expected) {
        ObjectNode body = transactionBody(key, expected);
        body.putArray("puts");
        body.putArray("remove").add(key);
        return write(key, body);
    }

    private static ObjectNode transactionBody(String key, StorePosition expected) {
        ObjectNode body = Json.object();
        ArrayNode conditions = body.putArray("expected_revision");
        conditions.addObject().put("key", key).put("revision", expected.revision());
        return body;
    }

    private CompletableFuture<WriteResult> write(String key, ObjectNode body) {
        return transport.call("POST", "/api/kv-txn", body, CALL_TIMEOUT).thenApply(reply -> {
            switch (reply.status()) {
                case OK:
                    return new WriteResult.Done(new StorePosition(
                            reply.era(), reply.body().path("revision").asLong()));
                case PRECONDITION_FAILED:
                    return new WriteResult.Conflict(positionOf(key, reply));
                case NOT_FOUND:
                    return new WriteResult.NotDone("the lease has expired");
                case SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS:
                    return new WriteResult.NotDone(reply.describe());
                default:
                    return new WriteResult.OutcomeUnknown(reply.describe());
            }
        });
    }

    private static StorePosition currentPosition(Reply reply) {
        return new StorePosition(reply.era(), reply.body().path("current_rev").asLong(0));
    }

    private static StorePosition positionOf(String key, Reply reply) {
        for (JsonNode item : reply.body().path("items")) {
            if (item.path("key").asText().equals(key)) {
                return new StorePosition(reply.era(), item.path("revision").asLong(0));
            }
        }
        return StorePosition.NONE;
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration timeToLive) {
        ObjectNode body = Json.object().put("ttl_ms", timeToLive.toMillis());
        return transport.call("POST", "/api/kv-lease", body, CALL_TIMEOUT).thenApply(reply -> leaseResult(reply, 0));
    }

    @Override
    public CompletableFuture<LeaseResult> keepAlive(long leaseId) {
        return transport
                .call("POST", "/api/kv-keep/" + leaseId, Json.object(), CALL_TIMEOUT)
                .thenApply(reply -> leaseResult(reply, leaseId));
    }

    private static LeaseResult leaseResult(Reply reply, long leaseId) {
        if (reply.status() == OK) {
            return new LeaseResult.Granted(
                    reply.body().path("lease").asLong(leaseId),
                    Duration.ofMillis(reply.body().path("ttl_ms").asLong(0)),
                    reply.era());
        }
        return reply.status() == NOT_FOUND ? new LeaseResult.Expired() : new LeaseResult.Unavailable(reply.describe());
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        Watch watch = new Watch(prefix, listener);
        watch.readThenPoll();
        return watch;
    }

    @Override
    public void close() {
        transport.close();
    }

    private static Entry decodeEntry(JsonNode item, long era) {
        byte[] value;
        try {
            value = item.path("value").binaryValue();
        } catch (IOException malformed) {
            value = new byte[0];
        }
        return new Entry(
                item.path("key").asText(),
                value == null ? new byte[0] : value,
                new StorePosition(era, item.path("revision").asLong()));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Watches a prefix with consecutive long polls, each of which continues from the revision of the previous one. */
    private final class Watch implements AutoCloseable {
        private final String prefix;
        private final WatchListener listener;
        private volatile boolean closed;

        Watch(String prefix, WatchListener listener) {
            this.prefix = prefix;
            this.listener = listener;
        }

        /** Reads all entries, reports them to the listener and then polls from the revision of that read. */
        private void readThenPoll() {
            if (closed) {
                return;
            }
            range(prefix).thenAccept(result -> {
                if (result instanceof ReadResult.Found found) {
                    found.entries().forEach(listener::changed);
                    poll(found.position());
                } else {
                    scheduleRetry();
                }
            });
        }

        private void poll(StorePosition after) {
            if (closed) {
                return;
            }
            String path = "/api/kv-watch?path_prefix=" + encode(prefix) + "&after=" + after.revision() + "&wait_ms="
                    + WATCH_WAIT.toMillis();
            transport.call("GET", path, null, WATCH_WAIT.plus(CALL_TIMEOUT)).thenAccept(reply -> {
                if (closed) {
                    return;
                }
                if (reply.status() == OK && reply.era() != after.era()) {
                    // The revision is of an earlier era, so that the store may have left out changes.
                    readThenPoll();
                } else if (reply.status() == OK) {
                    reply.body().path("events").forEach(event -> notifyListener(event, reply.era()));
                    long current = reply.body().path("current_rev").asLong(after.revision());
                    poll(new StorePosition(reply.era(), Math.max(after.revision(), current)));
                } else if (reply.status() == GONE) {
                    readThenPoll();
                } else {
                    listener.resyncRequired();
                    scheduleRetry();
                }
            });
        }

        private void notifyListener(JsonNode event, long era) {
            if (event.path("removed").asBoolean(false)) {
                listener.deleted(event.path("key").asText());
            } else {
                listener.changed(decodeEntry(event, era));
            }
        }

        private void scheduleRetry() {
            CompletableFuture.delayedExecutor(WATCH_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS)
                    .execute(this::readThenPoll);
        }

        @Override
        public void close() {
            closed = true;
        }
    }
}
