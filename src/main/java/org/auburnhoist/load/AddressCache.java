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

/** One caller's cached list of host addresses, best first; fetched again when it has expired or is used up. */
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
     * Creates an empty cache.
     *
     * @param client sends the requests
     * @param authorization header with the caller's key
     * @param seeds addresses of the hosts that are asked when no cached address is left
     * @param firstSeed index of the seed that is asked first
     */
    AddressCache(HttpClient client, String authorization, Supplier<List<String>> seeds, int firstSeed) {
        this.client = client;
        this.authorization = authorization;
        this.seeds = seeds;
        this.nextSeed = firstSeed;
    }

    /** Returns the best valid address, and requests a new list if there is none. */
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

    /** Removes an address that refused a request or failed, until the next list arrives. */
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
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + seed + "/.auburnhoist/addresses"))
                .header("Authorization", authorization)
                .timeout(TIMEOUT)
                .build();
        long askedNanos = System.nanoTime();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
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
