package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;

/** A fake of the platform's key-value store, which serves its published protocol on the loopback interface. */
final class FakeKvStore implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PAGE_SIZE = 50;

    private final HttpServer server;
    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, Long> leaseExpiryNanos = new HashMap<>();
    private final List<String> calls = new ArrayList<>();
    private long revision = 1;
    private long compactedRevision;
    private int compactions;
    private int waitingWatches;
    private long nextLease = 100;
    private long era = 1;
    private Copy copy = new Copy(Map.of(), Map.of(), 1, 100);
    private int failWith;
    private boolean writeResponsesDropped;

    /** What the store held at a time. */
    private record Copy(
            Map<String, ObjectNode> items, Map<Long, Long> leaseExpiryNanos, long revision, long nextLease) {}

    FakeKvStore() throws IOException {
        server = ServerBootstrap.bootstrap()
                .setLocalAddress(InetAddress.getLoopbackAddress())
                .setRequestRouter((request, context) -> this::handle)
                .create();
        server.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Responds to every call with a status; 0 restores normal service. */
    synchronized void failWith(int status) {
        failWith = status;
    }

    /** Executes writes but drops their responses. */
    synchronized void dropWriteResponses(boolean drop) {
        writeResponsesDropped = drop;
    }

    /** Discards the history and ends the waiting watches. */
    synchronized void compact() {
        history.clear();
        compactedRevision = revision;
        compactions++;
        notifyAll();
    }

    /** Makes a copy of everything. */
    synchronized void takeCopy() {
        copy = new Copy(Map.copyOf(items), Map.copyOf(leaseExpiryNanos), revision, nextLease);
    }

    /** Comes back from the copy and begins a new era; revisions and leases are given out again. */
    synchronized void restoreCopy() {
        items.clear();
        items.putAll(copy.items());
        leaseExpiryNanos.clear();
        leaseExpiryNanos.putAll(copy.leaseExpiryNanos());
        revision = copy.revision();
        nextLease = copy.nextLease();
        history.clear();
        compactedRevision = 0;
        era++;
    }

    /** The value of a key, or an empty text. */
    synchronized String value(String key) {
        ObjectNode item = items.get(key);
        byte[] bytes = Base64.getDecoder()
                .decode(item == null ? "" : item.path("value").asText());
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** The leases of the keys with a prefix. */
    synchronized List<Long> leases(String prefix) {
        return items.values().stream()
                .filter(item -> item.path("key").asText().startsWith(prefix))
                .map(item -> item.path("lease").asLong())
                .toList();
    }

    synchronized long revision() {
        return revision;
    }

    /** Writes an entry without a lease, as operators and servers do. */
    synchronized void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(MAPPER.createObjectNode()
                    .put("key", key)
                    .put("revision", revision)
                    .put("removed", true));
            notifyAll();
        }
    }

    synchronized int waitingWatches() {
        return waitingWatches;
    }

    synchronized List<String> calls() {
        return List.copyOf(calls);
    }

    private void put(String key, byte[] value, long lease) {
        revision++;
        ObjectNode existing = items.get(key);
        ObjectNode item = MAPPER.createObjectNode()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(value))
                .put("revision", revision)
                .put(
                        "created_at",
                        existing == null
                                ? revision
                                : existing.path("created_at").asLong())
                .put("lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws HttpException, IOException {
        Map<String, String> query = query(request);
        String path = path(request);
        JsonNode body = request.getEntity() == null
                ? MissingNode.getInstance()
                : MAPPER.readTree(EntityUtils.toByteArray(request.getEntity()));
        ObjectNode responseBody = MAPPER.createObjectNode();
        int status;
        long eraAtResponse;
        synchronized (this) {
            calls.add(request.getMethod() + " " + path);
            expireLeases();
            status = failWith != 0 ? failWith : handleCall(path, query, body, responseBody);
            if (writeResponsesDropped && path.equals("/api/kv-txn")) {
                response.setCode(500);
                throw new IOException("the response is dropped");
            }
            eraAtResponse = era;
        }
        response.setCode(status);
        response.setHeader("Store-Era", eraAtResponse);
        response.setEntity(new StringEntity(responseBody.toString(), ContentType.APPLICATION_JSON));
    }

    private int handleCall(String path, Map<String, String> query, JsonNode body, ObjectNode responseBody) {
        switch (path) {
            case "/api/kv-key":
                ObjectNode item = items.get(query.get("key"));
                responseBody.put("current_rev", revision);
                if (item == null) {
                    return 404;
                }
                responseBody.setAll(item);
                return 200;
            case "/api/kv-range":
                return range(query, responseBody);
            case "/api/kv-watch":
                return watch(query, responseBody);
            case "/api/kv-txn":
                return transaction(body, responseBody);
            case "/api/kv-lease":
                long lease = nextLease++;
                leaseExpiryNanos.put(
                        lease, System.nanoTime() + body.path("ttl_ms").asLong() * 1_000_000L);
                responseBody
                        .put("lease", lease)
                        .put("ttl_ms", body.path("ttl_ms").asLong());
                return 200;
            default:
                return renew(path, responseBody);
        }
    }

    private int renew(String path, ObjectNode responseBody) {
        long lease = Long.parseLong(path.substring("/api/kv-keep/".length()));
        if (!leaseExpiryNanos.containsKey(lease)) {
            return 404;
        }
        leaseExpiryNanos.put(lease, System.nanoTime() + Duration.ofSeconds(15).toNanos());
        responseBody.put("ttl_ms", 15_000);
        return 200;
    }

    /** Expires all leases at once, as a long outage does. */
    synchronized void expireAllLeases() {
        leaseExpiryNanos.replaceAll((lease, end) -> System.nanoTime() - 1);
        expireLeases();
    }

    private void expireLeases() {
        long now = System.nanoTime();
        leaseExpiryNanos.values().removeIf(end -> end - now < 0);
        List.copyOf(items.values()).forEach(item -> {
            long lease = item.path("lease").asLong();
            if (lease != 0 && !leaseExpiryNanos.containsKey(lease)) {
                remove(item.path("key").asText());
            }
        });
    }

    private int range(Map<String, String> query, ObjectNode responseBody) {
        ArrayNode list = responseBody.putArray("items");
        boolean more = false;
        for (ObjectNode item :
                items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (!item.path("key").asText().startsWith(query.getOrDefault("path_prefix", ""))) {
                continue;
            }
            if (list.size() == PAGE_SIZE) {
                more = true;
                break;
            }
            list.add(item);
        }
        responseBody.put("has_more", more).put("current_rev", revision);
        return 200;
    }

    private int watch(Map<String, String> query, ObjectNode responseBody) {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000L;
        ArrayNode events = responseBody.putArray("events");
        int compactionsBefore = compactions;
        while (true) {
            if (after < compactedRevision || compactions != compactionsBefore) {
                return 410;
            }
            for (ObjectNode event : history) {
                if (event.path("revision").asLong() > after
                        && event.path("key").asText().startsWith(query.get("path_prefix"))) {
                    events.add(event);
                }
            }
            long remaining = end - System.nanoTime();
            if (!events.isEmpty() || remaining <= 0) {
                responseBody.put("current_rev", revision);
                return 200;
            }
            waitingWatches++;
            try {
                TimeUnit.NANOSECONDS.timedWait(this, remaining);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return 503;
            } finally {
                waitingWatches--;
            }
        }
    }

    private int transaction(JsonNode body, ObjectNode responseBody) {
        for (JsonNode row : body.path("expected_revision")) {
            ObjectNode item = items.get(row.path("key").asText());
            long current = item == null ? 0 : item.path("revision").asLong();
            if (current != row.path("revision").asLong()) {
                ArrayNode list = responseBody.putArray("items");
                if (item != null) {
                    list.add(item);
                }
                return 412;
            }
        }
        for (JsonNode put : body.path("puts")) {
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leaseExpiryNanos.containsKey(lease)) {
                return 404;
            }
            put(
                    put.path("key").asText(),
                    Base64.getDecoder().decode(put.path("value").asText()),
                    lease);
        }
        body.path("remove").forEach(key -> remove(key.asText()));
        responseBody.put("revision", revision);
        return 200;
    }

    private static String path(HttpRequest request) {
        String target = request.getPath();
        int separator = target.indexOf('?');
        return separator < 0 ? target : target.substring(0, separator);
    }

    private static Map<String, String> query(HttpRequest request) {
        Map<String, String> values = new HashMap<>();
        String target = request.getPath();
        int separator = target.indexOf('?');
        if (separator >= 0) {
            for (String parameter : target.substring(separator + 1).split("&", -1)) {
                int equals = parameter.indexOf('=');
                values.put(
                        parameter.substring(0, equals),
                        URLDecoder.decode(parameter.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    @Override
    public void close() {
        server.close(CloseMode.IMMEDIATE);
        server.initiateShutdown();
        try {
            server.awaitTermination(TimeValue.ofMilliseconds(100));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
