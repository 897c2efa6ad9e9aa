package org.auburnhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;

/** A watch that reconnects with an exponential back-off until it is closed. */
final class EtcdWatch implements AutoCloseable {
    private static final String PATH = "/v3/watch";
    /** Above the JSON form of the largest transaction; a watch that fails reads everything again. */
    private static final long MAX_LINE_BYTES = 4 << 20;

    private final EtcdTransport transport;
    private final String prefix;
    private final WatchListener listener;
    private final Backoff backoff;
    private final Executor executor;
    private boolean closed;
    private @Nullable Connection current;

    EtcdWatch(EtcdTransport transport, String prefix, WatchListener listener, Backoff backoff, Executor executor) {
        this.transport = transport;
        this.prefix = prefix;
        this.listener = listener;
        this.backoff = backoff;
        this.executor = executor;
    }

    void connect() {
        Connection connection = new Connection();
        synchronized (this) {
            if (closed) {
                return;
            }
            current = connection;
        }
        CompletableFuture<HttpResponse<Void>> exchange =
                transport.stream(PATH, EtcdJson.watch(prefix), BoundedBody.ofLines(connection, MAX_LINE_BYTES));
        connection.exchange = exchange;
        CompletableFuture.delayedExecutor(transport.callLimit().toNanos(), TimeUnit.NANOSECONDS, executor)
                .execute(connection::endUnlessCreated);
        CompletableFuture<?> unused = exchange.whenComplete(
                (response, failure) -> connection.end(failure == null ? "the stream ended" : failure.toString()));
    }

    @Override
    public void close() {
        Connection connection;
        synchronized (this) {
            closed = true;
            connection = current;
            current = null;
        }
        if (connection != null) {
            connection.abort();
        }
    }

    private void reconnectAfter(Connection ended, String reason) {
        synchronized (this) {
            if (closed || current != ended) {
                return;
            }
            current = null;
        }
        Event.named("store-watch-interrupted")
                .with("prefix", prefix)
                .with("reason", reason)
                .log();
        transport.preferNextEndpoint();
        CompletableFuture.delayedExecutor(backoff.next().toNanos(), TimeUnit.NANOSECONDS, executor)
                .execute(this::connect);
    }

    private synchronized boolean isCurrent(Connection connection) {
        return !closed && current == connection;
    }

    /** One streamed response; each line is a JSON object. */
    private final class Connection implements Flow.Subscriber<String> {
        private volatile @Nullable CompletableFuture<HttpResponse<Void>> exchange;
        private volatile Flow.@Nullable Subscription subscription;
        private volatile boolean created;

        @Override
        public void onSubscribe(Flow.Subscription newSubscription) {
            subscription = newSubscription;
            newSubscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(String line) {
            if (line.isBlank() || !isCurrent(this)) {
                return;
            }
            try {
                receive(EtcdJson.parse(line.getBytes(StandardCharsets.UTF_8)));
            } catch (IOException | RuntimeException cause) {
                end("invalid message or exception in the listener: " + cause);
            }
        }

        @Override
        public void onError(Throwable cause) {
            end(cause.toString());
        }

        @Override
        public void onComplete() {
            end("the stream ended");
        }

        private void receive(JsonNode message) {
            JsonNode result = message.path("result");
            if (message.has("error") || result.path("canceled").asBoolean()) {
                end("the store ended the watch: " + message);
                return;
            }
            if (result.path("created").asBoolean()) {
                created = true;
                backoff.reset();
                listener.resyncRequired();
            }
            for (JsonNode event : result.path("events")) {
                deliver(event);
            }
        }

        private void deliver(JsonNode event) {
            if (event.path("type").asText().equals("DELETE")) {
                listener.deleted(EtcdJson.key(event.path("kv")));
            } else {
                listener.changed(EtcdJson.entry(event.path("kv")));
            }
        }

        private void endUnlessCreated() {
            if (!created) {
                end("the watch was not created within the time limit");
            }
        }

        private void end(String reason) {
            reconnectAfter(this, reason);
            abort();
        }

        private void abort() {
            Flow.Subscription running = subscription;
            if (running != null) {
                running.cancel();
            }
            CompletableFuture<HttpResponse<Void>> sent = exchange;
            if (sent != null) {
                sent.cancel(true);
            }
        }
    }
}
