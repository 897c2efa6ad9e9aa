package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.nio.support.BasicResponseConsumer;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ssl.TransportSecurityLayer;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** Sends JSON calls to the platform's store over kept connections. */
final class KvTransport implements AutoCloseable {
    private static final int MOST_CONNECTIONS = 6;
    private static final int MOST_LONG_CALLS = 2;
    /** Probes that find a connection silent within three seconds, the time after which a host counts as cut off. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;
    /** Stands for the status of a call without an answer. */
    private static final int NO_ANSWER = 0;

    /** Name under which the connections of long calls are pooled; it is not looked up. */
    private static final String LONG_CALLS = "long-calls";

    private final HttpHost host;
    private final HttpHost longCallsHost;
    private final HttpAsyncRequester requester;
    private final ScheduledExecutorService timer;

    /**
     * What came of a call.
     *
     * @param status HTTP status, 0 if no answer came
     * @param body the answer's body, a missing node without one
     * @param reason why no answer came
     */
    record Reply(int status, JsonNode body, String reason) {
        String describe() {
            return status == NO_ANSWER ? reason : "status " + status;
        }
    }

    KvTransport(InetSocketAddress address) {
        // Without the text form the library would look the address's name up.
        this.host =
                new HttpHost("http", address.getAddress(), address.getAddress().getHostAddress(), address.getPort());
        this.longCallsHost = new HttpHost("http", address.getAddress(), LONG_CALLS, address.getPort());
        // The library's own processor would ask for "100 Continue", which the store does not send.
        HttpProcessor processor = HttpProcessorBuilder.create()
                .addAll(RequestTargetHost.INSTANCE, RequestContent.INSTANCE, RequestConnControl.INSTANCE)
                .build();
        this.requester = AsyncRequesterBootstrap.bootstrap()
                .setHttpProcessor(processor)
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoKeepAlive(true)
                        .setTcpKeepIdle(KEEP_ALIVE_SECONDS)
                        .setTcpKeepInterval(KEEP_ALIVE_SECONDS)
                        .setTcpKeepCount(KEEP_ALIVE_PROBES)
                        .build())
                .setTlsStrategy(new NoTls())
                .setMaxTotal(MOST_CONNECTIONS + MOST_LONG_CALLS)
                .setDefaultMaxPerRoute(MOST_CONNECTIONS)
                .create();
        // A watch that is no longer wanted holds its connection until it is answered.
        requester.setMaxPerRoute(longCallsHost, MOST_LONG_CALLS);
        this.timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "store-timer");
            thread.setDaemon(true);
            return thread;
        });
        requester.start();
    }

    /** The store is not spoken to over TLS; the library's default would read all certificates at each start. */
    private static final class NoTls implements TlsStrategy {
        @Override
        @Deprecated
        public boolean upgrade(
                TransportSecurityLayer session,
                HttpHost destination,
                SocketAddress local,
                SocketAddress remote,
                Object attachment,
                Timeout handshakeTimeout) {
            return false;
        }
    }

    /** Makes a call; never completes exceptionally. */
    CompletableFuture<Reply> call(String method, String path, @Nullable JsonNode body, Duration limit) {
        return call(host, method, path, body, limit);
    }

    /**
     * Makes a call that may wait for its answer. A connection keeps the time limit of the call for which it was opened,
     * so long calls have connections of their own.
     */
    CompletableFuture<Reply> longCall(String path, Duration limit) {
        return call(longCallsHost, "GET", path, null, limit);
    }

    private CompletableFuture<Reply> call(
            HttpHost pool, String method, String path, @Nullable JsonNode body, Duration limit) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        AsyncRequestBuilder builder =
                AsyncRequestBuilder.create(method).setHttpHost(host).setPath(path);
        if (body != null) {
            builder.setEntity(Json.write(body).getBytes(StandardCharsets.UTF_8), ContentType.APPLICATION_JSON);
        }
        Exchange exchange = new Exchange(reply, builder.build());
        // The library takes this as the limit of connecting and of silence alike. With a longer one, connections that
        // cannot be opened would hold the whole pool after the path is back. So idle connections end after a second.
        Future<?> lease = requester.connect(pool, Timeout.of(limit), null, exchange);
        Future<?> expiry = timer.schedule(
                () -> {
                    exchange.expire("no answer within " + limit.toMillis() + " ms");
                    lease.cancel(true);
                },
                limit.toMillis(),
                TimeUnit.MILLISECONDS);
        reply.whenComplete((result, failure) -> expiry.cancel(false));
        return reply;
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
        timer.shutdownNow();
    }

    private static Reply noAnswer(String reason) {
        return new Reply(NO_ANSWER, MissingNode.getInstance(), reason);
    }

    /**
     * One call on a leased connection. A call that is given up closes its connection: a store that has gone silent
     * would otherwise hold all connections of the pool.
     */
    private static final class Exchange implements FutureCallback<AsyncClientEndpoint> {
        private final CompletableFuture<Reply> reply;
        private final AsyncRequestProducer producer;
        private @Nullable AsyncClientEndpoint leased;
        private boolean over;

        Exchange(CompletableFuture<Reply> reply, AsyncRequestProducer producer) {
            this.reply = reply;
            this.producer = producer;
        }

        @Override
        public void completed(AsyncClientEndpoint endpoint) {
            synchronized (this) {
                if (!over) {
                    leased = endpoint;
                }
            }
            if (leased == null) {
                endpoint.releaseAndReuse();
                return;
            }
            endpoint.execute(
                    producer,
                    new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()),
                    HttpCoreContext.create(),
                    new ReplyCallback(this));
        }

        @Override
        public void failed(Exception cause) {
            end(noAnswer(String.valueOf(cause)), false);
        }

        @Override
        public void cancelled() {
            end(noAnswer("cancelled"), false);
        }

        void expire(String reason) {
            end(noAnswer(reason), false);
        }

        /** Ends the call once; the connection is kept only after a whole answer. */
        void end(Reply result, boolean whole) {
            AsyncClientEndpoint endpoint;
            synchronized (this) {
                if (over) {
                    return;
                }
                over = true;
                endpoint = leased;
            }
            if (endpoint != null && whole) {
                endpoint.releaseAndReuse();
            } else if (endpoint != null) {
                endpoint.releaseAndDiscard();
            }
            reply.complete(result);
        }
    }

    private static final class ReplyCallback implements FutureCallback<Message<HttpResponse, byte[]>> {
        private final Exchange exchange;

        ReplyCallback(Exchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public void completed(Message<HttpResponse, byte[]> message) {
            byte[] body = message.getBody();
            int status = message.getHead().getCode();
            try {
                JsonNode parsed = body == null || body.length == 0 ? MissingNode.getInstance() : Json.read(body);
                exchange.end(new Reply(status, parsed, ""), true);
            } catch (IOException malformed) {
                exchange.end(
                        status == 200
                                ? noAnswer("an unreadable answer")
                                : new Reply(status, MissingNode.getInstance(), ""),
                        false);
            }
        }

        @Override
        public void failed(Exception cause) {
            exchange.failed(cause);
        }

        @Override
        public void cancelled() {
            exchange.cancelled();
        }
    }
}
