package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.config.Http1Config;
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
import org.auburnhoist.proxy.ReactorProbe;
import org.auburnhoist.support.Supervisor;
import org.auburnhoist.support.WatchedPart;
import org.jspecify.annotations.Nullable;

/** Sends JSON calls to the platform's store over pooled, persistent connections. */
final class KvTransport implements AutoCloseable {
    /** Enough for three reads, the lease, a watch and an abandoned call that still waits for its response. */
    private static final int MAX_CONNECTIONS = 8;
    /** With a longer timeout, pending connects would occupy the whole pool after the network has recovered. */
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(1);
    /** Longer than a long poll and than the interval between two calls of a host; calls have their own timeouts. */
    private static final Timeout IDLE_TIMEOUT = Timeout.ofSeconds(30);
    /** The probes detect a dead connection within three seconds, the time after which a host counts as isolated. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;
    /** Limits of a response head, in bytes a line and in lines; the store's own are far below. */
    private static final Http1Config HEAD_LIMITS = Http1Config.custom()
            .setMaxLineLength(8 * 1024)
            .setMaxHeaderCount(100)
            .build();
    /** Maximum size of a response body; a page has about 1 MB, and a value at most 1.4 MB as text. */
    private static final int MAX_BODY_BYTES = 4 << 20;
    /** Header of all responses with the number of the store's era. */
    private static final String ERA = "Store-Era";
    /** Interval at which the timer reports that it runs. */
    private static final long PROGRESS_INTERVAL_MILLIS = 500;
    /** Status of a call without a response. */
    private static final int NO_RESPONSE = 0;

    private final HttpHost host;
    private final HttpAsyncRequester requester;
    private final ScheduledExecutorService timer;
    private final StoreEras eras = new StoreEras();

    /**
     * Result of a call.
     *
     * @param status HTTP status, 0 if there is no response
     * @param body body of the response, a missing node if there is none
     * @param reason why there is no response
     * @param era era of the store that responded, 0 if it does not name it
     * @param eraConfirmed whether another response has named this era, or the store names none
     */
    record Reply(int status, JsonNode body, String reason, long era, boolean eraConfirmed) {
        String describe() {
            return status == NO_RESPONSE ? reason : "status " + status;
        }
    }

    KvTransport(InetSocketAddress address, Supervisor supervisor) {
        // Without the textual address the library would do a reverse DNS lookup.
        this.host =
                new HttpHost("http", address.getAddress(), address.getAddress().getHostAddress(), address.getPort());
        // The library's default processor would request "100 Continue", which the store does not send.
        HttpProcessor processor = HttpProcessorBuilder.create()
                .addAll(RequestTargetHost.INSTANCE, RequestContent.INSTANCE, RequestConnControl.INSTANCE)
                .build();
        this.requester = AsyncRequesterBootstrap.bootstrap()
                .setHttpProcessor(processor)
                .setHttp1Config(HEAD_LIMITS)
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoKeepAlive(true)
                        .setTcpKeepIdle(KEEP_ALIVE_SECONDS)
                        .setTcpKeepInterval(KEEP_ALIVE_SECONDS)
                        .setTcpKeepCount(KEEP_ALIVE_PROBES)
                        .build())
                .setTlsStrategy(new NoTls())
                .setIOSessionListener(new IdleTimeoutListener())
                .setMaxTotal(MAX_CONNECTIONS)
                .setDefaultMaxPerRoute(MAX_CONNECTIONS)
                .create();
        this.timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "store-timer");
            thread.setDaemon(true);
            return thread;
        });
        WatchedPart timerProgress = supervisor.watch("store-timer");
        Future<?> unused = timer.scheduleWithFixedDelay(
                timerProgress::progressed, 0, PROGRESS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        requester.start();
        ReactorProbe probe = new ReactorProbe(supervisor.watch("store-io"));
        supervisor.addProbe(() -> probe.ask(requester));
    }

    /** Disables TLS, which the store does not use; the library's default loads all certificates at each start. */
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

    /** Sets the timeout of each connection, replacing that of the call for which it was opened. */
    private static final class IdleTimeoutListener implements IOSessionListener {
        @Override
        public void connected(IOSession session) {
            session.setSocketTimeout(IDLE_TIMEOUT);
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

    /** Makes a call, which may be a long poll; the future never completes exceptionally. */
    CompletableFuture<Reply> call(String method, String path, @Nullable JsonNode body, Duration timeout) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        AsyncRequestBuilder builder =
                AsyncRequestBuilder.create(method).setHttpHost(host).setPath(path);
        if (body != null) {
            builder.setEntity(Json.write(body).getBytes(StandardCharsets.UTF_8), ContentType.APPLICATION_JSON);
        }
        Exchange exchange = new Exchange(reply, builder.build(), eras);
        Future<?> leaseRequest = requester.connect(host, CONNECT_TIMEOUT, null, exchange);
        Future<?> expiry = timer.schedule(
                () -> {
                    exchange.expire("no response within " + timeout.toMillis() + " ms");
                    leaseRequest.cancel(true);
                },
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
        reply.whenComplete((result, failure) -> expiry.cancel(false));
        return reply;
    }

    /** Makes a read, and repeats it once if its response is the first to name a higher era of the store. */
    CompletableFuture<Reply> read(String path, Duration timeout) {
        return call("GET", path, null, timeout).thenCompose(first -> {
            if (first.eraConfirmed()) {
                return CompletableFuture.completedFuture(first);
            }
            return call("GET", path, null, timeout)
                    .thenApply(
                            second -> second.eraConfirmed() ? second : noResponse("unconfirmed era " + second.era()));
        });
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
        timer.shutdownNow();
    }

    private static Reply noResponse(String reason) {
        return new Reply(NO_RESPONSE, MissingNode.getInstance(), reason, 0, true);
    }

    /**
     * One call on a leased connection. An abandoned call closes its connection; otherwise a store that has stopped
     * responding would occupy all connections of the pool.
     */
    private static final class Exchange implements FutureCallback<AsyncClientEndpoint> {
        private final CompletableFuture<Reply> reply;
        private final AsyncRequestProducer producer;
        private final StoreEras eras;
        private @Nullable AsyncClientEndpoint leasedEndpoint;
        private boolean done;

        Exchange(CompletableFuture<Reply> reply, AsyncRequestProducer producer, StoreEras eras) {
            this.reply = reply;
            this.producer = producer;
            this.eras = eras;
        }

        @Override
        public void completed(AsyncClientEndpoint endpoint) {
            synchronized (this) {
                if (!done) {
                    leasedEndpoint = endpoint;
                }
            }
            if (leasedEndpoint == null) {
                endpoint.releaseAndReuse();
                return;
            }
            endpoint.execute(
                    producer,
                    new BasicResponseConsumer<>(new BoundedBodyConsumer()),
                    HttpCoreContext.create(),
                    new ReplyCallback(this));
        }

        @Override
        public void failed(Exception cause) {
            complete(noResponse(String.valueOf(cause)), false);
        }

        @Override
        public void cancelled() {
            complete(noResponse("cancelled"), false);
        }

        void expire(String reason) {
            complete(noResponse(reason), false);
        }

        /** Completes the call once; the connection is reused only after a complete response. */
        void complete(Reply result, boolean reusable) {
            AsyncClientEndpoint endpoint;
            synchronized (this) {
                if (done) {
                    return;
                }
                done = true;
                endpoint = leasedEndpoint;
            }
            if (endpoint != null && reusable) {
                endpoint.releaseAndReuse();
            } else if (endpoint != null) {
                endpoint.releaseAndDiscard();
            }
            reply.complete(result);
        }
    }

    /** Reads a body, and fails, which closes the connection, if the body is too large. */
    private static final class BoundedBodyConsumer extends BasicAsyncEntityConsumer {
        private long bytes;

        @Override
        protected void data(ByteBuffer source, boolean endOfStream) throws IOException {
            bytes += source.remaining();
            if (bytes > MAX_BODY_BYTES) {
                throw new IOException("response: expected at most " + MAX_BODY_BYTES + " bytes");
            }
            super.data(source, endOfStream);
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
            Header eraHeader = message.getHead().getFirstHeader(ERA);
            StoreEras.ResponseEra era =
                    exchange.eras.eraOf(eraHeader == null ? null : eraHeader.getValue(), System.nanoTime());
            if (era.standing() == StoreEras.Standing.OUTDATED) {
                exchange.complete(noResponse("response of the earlier era " + era.number()), true);
                return;
            }
            boolean confirmed = era.standing() == StoreEras.Standing.CURRENT;
            try {
                JsonNode parsed = body == null || body.length == 0 ? MissingNode.getInstance() : Json.read(body);
                exchange.complete(new Reply(status, parsed, "", era.number(), confirmed), true);
            } catch (IOException malformed) {
                exchange.complete(
                        status == 200
                                ? noResponse("unreadable response")
                                : new Reply(status, MissingNode.getInstance(), "", era.number(), confirmed),
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
