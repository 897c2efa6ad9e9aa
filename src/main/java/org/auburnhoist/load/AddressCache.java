package org.auburnhoist.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** The address answer that one caller keeps: used for its validity, best address first, asked again when used up. */
final class AddressCache {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final HttpClient client;
    private final String authorization;
    private final Supplier<List<String>> seeds;
    private final List<String> addresses = new ArrayList<>();
    private long expiryNanos;
    private int nextSeed;
    private @Nullable CompletableFuture<String> pendingRequest;

    /**
     * A book without addresses.
     *
     * @param client sends the questions
     * @param authorization header with the caller's key
     * @param seeds addresses of hosts that are asked when no listed one is left
     * @param firstSeed index of the seed that is asked first
     */
    AddressCache(HttpClient client, String authorization, Supplier<List<String>> seeds, int firstSeed) {
        this.client = client;
        this.authorization = authorization;
        this.seeds = seeds;
        this.nextSeed = firstSeed;
    }

    /** The best address that is valid now. */
    synchronized CompletableFuture<String> best(long nowNanos) {
        if (!addresses.isEmpty() && expiryNanos - nowNanos > 0) {
            return CompletableFuture.completedFuture(addresses.get(0));
        }
        CompletableFuture<String> current = pendingRequest;
        if (current == null) {
            current = requestAddresses(seeds.get().size()).whenComplete((address, failure) -> requestEnded());
            if (!current.isDone()) {
                pendingRequest = current;
            }
        }
        return current;
    }

    /** Leaves out an address that refused until the next answer. */
    synchronized void reject(String address) {
        addresses.remove(address);
    }

    private synchronized void requestEnded() {
        pendingRequest = null;
    }

    private synchronized CompletableFuture<String> requestAddresses(int attemptsLeft) {
        List<String> hosts = seeds.get();
        if (attemptsLeft == 0 || hosts.isEmpty()) {
            return CompletableFuture.failedFuture(new IOException("no host answered with addresses"));
        }
        String seed = hosts.get(Math.floorMod(nextSeed++, hosts.size()));
        HttpRequest question = HttpRequest.newBuilder(URI.create("http://" + seed + "/.auburnhoist/addresses"))
                .header("Authorization", authorization)
                .timeout(TIMEOUT)
                .build();
        long askedNanos = System.nanoTime();
        return client.sendAsync(question, HttpResponse.BodyHandlers.ofByteArray())
                .handle((answer, failure) ->
                        failure == null && answer.statusCode() == 200 ? accept(answer.body(), askedNanos) : "")
                .thenCompose(address -> address.isEmpty()
                        ? requestAddresses(attemptsLeft - 1)
                        : CompletableFuture.completedFuture(address));
    }

    private synchronized String accept(byte[] body, long askedNanos) {
        try {
            JsonNode answer = MAPPER.readTree(body);
            addresses.clear();
            answer.path("addresses")
                    .forEach(entry -> addresses.add(entry.path("address").asText()));
            expiryNanos = askedNanos
                    + Duration.ofSeconds(answer.path("validForSeconds").asLong())
                            .toNanos();
            return addresses.isEmpty() ? "" : addresses.get(0);
        } catch (IOException malformed) {
            return "";
        }
    }
}
