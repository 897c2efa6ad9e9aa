package org.auburnhoist.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends calls to the store's endpoints and classifies their outcomes. */
final class EtcdTransport {
    /** Maximum size of a response; the largest one reads all parts of a configuration. */
    private static final long MAX_BODY_BYTES = 16 << 20;

    /**
     * gRPC status codes with which the store rejects a request before executing it: INVALID_ARGUMENT, NOT_FOUND,
     * PERMISSION_DENIED, FAILED_PRECONDITION, OUT_OF_RANGE, UNIMPLEMENTED, UNAUTHENTICATED. UNAVAILABLE is not among
     * them, because the store also returns it when a proposal times out that may still be committed.
     */
    private static final Set<Integer> REJECTION_CODES = Set.of(3, 5, 7, 9, 11, 12, 16);

    /**
     * RESOURCE_EXHAUSTED counts as a rejection only if its message comes from the store itself; a gateway also returns
     * it because of a response, that is, after the request was executed.
     */
    private static final int RESOURCE_EXHAUSTED = 8;

    private static final String ETCD_MESSAGE_PREFIX = "etcdserver:";

    private final List<URI> endpoints;
    private final Duration callLimit;
    private final HttpClient client;
    private final StoreCallCounts counts;
    private final AtomicInteger preferredIndex = new AtomicInteger();

    EtcdTransport(List<URI> endpoints, Duration callLimit, HttpClient client, StoreCallCounts counts) {
        this.endpoints = List.copyOf(endpoints);
        this.callLimit = callLimit;
        this.client = client;
        this.counts = counts;
    }

    /**
     * Makes a call that may be executed more than once. The endpoints are tried in turn until one responds; the timeout
     * of each attempt is an equal part of the call's timeout. If the connection of the first attempt breaks, that
     * endpoint is tried once more, because the store may have closed a pooled connection since its last use.
     */
    CompletableFuture<CallResult> callRetryable(StoreCallKind kind, String path, ObjectNode body) {
        Duration limit = callLimit.dividedBy(endpoints.size());
        Call call = new Call(kind, path, EtcdJson.bytes(body), limit, true);
        int endpoint = preferredEndpoint();
        return send(call, endpoint).thenCompose(result -> {
            boolean retry = result instanceof CallResult.Unknown unknown && unknown.connectionBroke();
            return retry
                    ? attempt(call, endpoint, endpoints.size())
                    : continueAfter(result, call, endpoint, endpoints.size());
        });
    }

    /** Makes a call that is sent to another endpoint only if it provably has not been executed yet. */
    CompletableFuture<CallResult> callAtMostOnce(StoreCallKind kind, String path, ObjectNode body) {
        return attempt(
                new Call(kind, path, EtcdJson.bytes(body), callLimit, false), preferredEndpoint(), endpoints.size());
    }

    /** Starts a call with a streamed response at the preferred endpoint; see {@link #preferNextEndpoint}. */
    CompletableFuture<HttpResponse<Void>> stream(String path, ObjectNode body, HttpResponse.BodyHandler<Void> handler) {
        counts.add(StoreCallKind.WATCH);
        return client.sendAsync(
                request(preferredEndpoint(), path, EtcdJson.bytes(body)).build(), handler);
    }

    Duration callLimit() {
        return callLimit;
    }

    /** Makes later calls start at the next endpoint. */
    void preferNextEndpoint() {
        preferredIndex.updateAndGet(index -> (index + 1) % endpoints.size());
    }

    private int preferredEndpoint() {
        return preferredIndex.get();
    }

    private CompletableFuture<CallResult> attempt(Call call, int endpoint, int attemptsLeft) {
        return send(call, endpoint).thenCompose(result -> continueAfter(result, call, endpoint, attemptsLeft));
    }

    private CompletableFuture<CallResult> continueAfter(CallResult result, Call call, int endpoint, int attemptsLeft) {
        if (result instanceof CallResult.Answered) {
            preferredIndex.set(endpoint);
            return CompletableFuture.completedFuture(result);
        }
        boolean mayRetry = call.retryable() || result instanceof CallResult.NotDone;
        if (attemptsLeft <= 1 || !mayRetry) {
            return CompletableFuture.completedFuture(result);
        }
        return attempt(call, (endpoint + 1) % endpoints.size(), attemptsLeft - 1);
    }

    private CompletableFuture<CallResult> send(Call call, int endpoint) {
        counts.add(call.kind());
        HttpRequest request = request(endpoint, call.path(), call.body())
                .timeout(call.limit())
                .build();
        CompletableFuture<HttpResponse<byte[]>> exchange =
                client.sendAsync(request, BoundedBody.ofByteArray(MAX_BODY_BYTES));
        // The timeout of the HTTP request covers only the response headers; this one also covers the response body.
        return exchange.copy()
                .orTimeout(call.limit().toMillis(), TimeUnit.MILLISECONDS)
                .handle((response, failure) -> {
                    if (failure == null) {
                        return classify(response.statusCode(), response.body());
                    }
                    exchange.cancel(true);
                    return classify(failure);
                });
    }

    private HttpRequest.Builder request(int endpoint, String path, byte[] body) {
        return HttpRequest.newBuilder(endpoints.get(endpoint).resolve(path))
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofByteArray(body));
    }

    static CallResult classify(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return new CallResult.NotDone("no connection: " + cause);
        }
        boolean timedOut = cause instanceof HttpTimeoutException || cause instanceof TimeoutException;
        return new CallResult.Unknown("no response: " + cause, cause instanceof IOException && !timedOut);
    }

    static CallResult classify(int status, byte[] body) {
        JsonNode parsed;
        try {
            parsed = EtcdJson.parse(body);
        } catch (IOException cause) {
            return new CallResult.Unknown(
                    "status " + status + " with an unreadable body: " + cause.getMessage(), false);
        }
        if (status == 200 && !parsed.has("error")) {
            return new CallResult.Answered(parsed);
        }
        JsonNode error = parsed.path("error").isObject() ? parsed.path("error") : parsed;
        int code = error.path("code").asInt(error.path("grpc_code").asInt(-1));
        String message = error.path("message").asText(error.path("error").asText());
        String reason = "status " + status + ", code " + code + ": " + message;
        boolean rejected = REJECTION_CODES.contains(code)
                || (code == RESOURCE_EXHAUSTED && message.startsWith(ETCD_MESSAGE_PREFIX));
        return rejected ? new CallResult.NotDone(reason) : new CallResult.Unknown(reason, false);
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Call(StoreCallKind kind, String path, byte[] body, Duration limit, boolean retryable) {}
}
