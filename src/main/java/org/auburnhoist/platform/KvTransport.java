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
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.reactor.ssl.TransportSecurityLayer;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** Sends JSON calls to the platform's store over kept connections. */
final class KvTransport implements AutoCloseable {
    /** Three reads, the lease, a watch and one that is no longer wanted but still waits for its answer. */
    private static final int MOST_CONNECTIONS = 8;
    /** With a longer one, connections that cannot be opened would hold the whole pool after the path is back. */
    private static final Timeout CONNECT_LIMIT = Timeout.ofSeconds(1);
    /** Longer than a watch waits and than any two calls of a host are apart; calls have limits of their own. */
    private static final Timeout IDLE_LIMIT = Timeout.ofSeconds(30);
    /** Probes that find a connection silent within three seconds, the time after which a host counts as cut off. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;
    /** Stands for the status of a call without an answer. */
    private static final int NO_ANSWER = 0;

    private final HttpHost host;
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
                .setIOSessionListener(new IdleLimit())
                .setMaxTotal(MOST_CONNECTIONS)
                .setDefaultMaxPerRoute(MOST_CONNECTIONS)
                .create();
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

    /** Gives each connection a limit of its own in the place of that of the call for which it was opened. */
    private static final class IdleLimit implements IOSessionListener {
        @Override
        public void connected(IOSession session) {
            session.setSocketTimeout(IDLE_LIMIT);
        }

        @Override
        public void startTls(IOSession session) {}

        @Override
        public void inputReady(IOSession session) {}

        @Override
        public void outputReady(IOSession session) {}

        @Override
        public void timeout(IOSession session) {}

        @Override
        public void exception(IOSession session, Exception cause) {}

        @Override
        public void disconnected(IOSession session) {}
    }

    /** Makes a call, which may wait for its answer; never completes exceptionally. */
    CompletableFuture<Reply> call(String method, String path, @Nullable JsonNode body, Duration limit) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        AsyncRequestBuilder builder =
                AsyncRequestBuilder.create(method).setHttpHost(host).setPath(path);
        if (body != null) {
            builder.setEntity(Json.write(body).getBytes(StandardCharsets.UTF_8), ContentType.APPLICATION_JSON);
        }
        Exchange exchange = new Exchange(reply, builder.build());
        Future<?> lease = requester.connect(host, CONNECT_LIMIT, null, exchange);
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
