package org.auburnhoist.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

/** Operation ids that one caller fetches in advance. An id is used for one booking and its retries. */
final class OperationIds {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_ATTEMPTS = 3;
    private static final int CREATED = 201;
    private static final int UNAUTHORIZED = 401;

    /** Ids issued by a host that has stopped are useless, so a caller keeps only a few and for a short time. */
    private static final int BATCH_SIZE = 5;

    private static final long MAX_AGE_NANOS = Duration.ofSeconds(10).toNanos();

    private final HttpClient client;
    private final String authorization;
    private final AddressCache addresses;
    private final Deque<String> ids = new ArrayDeque<>();
    private long fetchedNanos;

    OperationIds(HttpClient client, String authorization, AddressCache addresses) {
        this.client = client;
        this.authorization = authorization;
        this.addresses = addresses;
    }

    /** Returns an unused id. */
    CompletableFuture<String> next(long nowNanos) {
        synchronized (this) {
            if (!ids.isEmpty() && nowNanos - fetchedNanos < MAX_AGE_NANOS) {
                return CompletableFuture.completedFuture(ids.removeFirst());
            }
            ids.clear();
        }
        return fetch(MAX_ATTEMPTS);
    }

    private CompletableFuture<String> fetch(int attemptsLeft) {
        if (attemptsLeft == 0) {
            return CompletableFuture.failedFuture(new IOException("no host issued operation ids"));
        }
        return addresses.best(System.nanoTime()).thenCompose(address -> fetch(address, attemptsLeft));
    }

    private CompletableFuture<String> fetch(String address, int attemptsLeft) {
        URI uri = URI.create("http://" + address + "/.auburnhoist/operations?count=" + BATCH_SIZE);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .header("Authorization", authorization)
                .POST(HttpRequest.BodyPublishers.noBody())
                .timeout(TIMEOUT)
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle((answer, failure) -> {
                    if (failure == null && answer.statusCode() == UNAUTHORIZED) {
                        String code = answer.headers()
                                .firstValue("Auburnhoist-Refusal")
                                .orElse("");
                        return CompletableFuture.<String>failedFuture(new RefusedException(code));
                    }
                    boolean issued = failure == null && answer.statusCode() == CREATED;
                    String id = issued ? accept(answer.body()) : reject(address);
                    return id.isEmpty() ? fetch(attemptsLeft - 1) : CompletableFuture.completedFuture(id);
                })
                .thenCompose(id -> id);
    }

    private String reject(String address) {
        addresses.reject(address);
        return "";
    }

    private synchronized String accept(byte[] body) {
        try {
            MAPPER.readTree(body).path("operationIds").forEach(id -> ids.addLast(id.asText()));
        } catch (IOException malformed) {
            return "";
        }
        fetchedNanos = System.nanoTime();
        return ids.isEmpty() ? "" : ids.removeFirst();
    }

    /** The caller's key was refused, so a retry cannot succeed. */
    static final class RefusedException extends IOException {
        private static final long serialVersionUID = 1;

        private final String code;

        RefusedException(String code) {
            super("refused: " + code);
            this.code = code;
        }

        String code() {
            return code;
        }
    }
}
