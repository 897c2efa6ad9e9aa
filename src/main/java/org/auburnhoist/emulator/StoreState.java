package org.auburnhoist.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Keys, revisions, leases and watches of the emulated store; requests and responses have the JSON form of the etcd v3
 * HTTP gateway.
 *
 * <p>Supports range reads, transactions that compare modification revisions for equality, leases, and watches without a
 * start revision. Keys are stored as ISO 8859-1 strings, which sort in the order of their bytes.
 */
final class StoreState {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String UNBOUNDED_END = "\0";

    private final NavigableMap<String, KeyValue> keyValues = new TreeMap<>();
    private final Map<Long, Lease> leases = new TreeMap<>();
    private final List<Watch> watches = new CopyOnWriteArrayList<>();
    private long revision = 1;
    private long lastLeaseId = 1_000;

    /** Executes a range read. */
    synchronized ObjectNode range(JsonNode request) {
        boolean keysOnly = request.path("keys_only").asBoolean();
        ObjectNode response = responseWithHeader();
        ArrayNode found = MAPPER.createArrayNode();
        keyValuesInRange(request).forEach((key, pair) -> found.add(keyValueJson(key, pair, keysOnly)));
        if (!found.isEmpty()) {
            response.set("kvs", found);
            response.put("count", Integer.toString(found.size()));
        }
        return response;
    }

    /**
     * Executes a transaction.
     *
     * @throws RejectedRequestException if it is unsupported or refers to an unknown lease; nothing is written then
     */
    synchronized ObjectNode transaction(JsonNode request) throws RejectedRequestException {
        boolean succeeded = true;
        for (JsonNode comparison : request.path("compare")) {
            succeeded &= isTrue(comparison);
        }
        JsonNode operations = request.path(succeeded ? "success" : "failure");
        for (JsonNode operation : operations) {
            checkLease(operation);
        }
        List<ObjectNode> events = new ArrayList<>();
        ArrayNode responses = MAPPER.createArrayNode();
        long writeRevision = revision + 1;
        for (JsonNode operation : operations) {
            responses.add(apply(operation, writeRevision, events));
        }
        commitAndNotify(writeRevision, events);
        ObjectNode response = responseWithHeader();
        if (succeeded) {
            response.put("succeeded", true);
        }
        response.set("responses", responses);
        return response;
    }

    /** Grants a lease. */
    synchronized ObjectNode grantLease(JsonNode request, long nowNanos) throws RejectedRequestException {
        long seconds = request.path("TTL").asLong();
        if (seconds <= 0) {
            throw new RejectedRequestException("TTL: expected a positive number of seconds, got " + seconds);
        }
        long leaseId = ++lastLeaseId;
        leases.put(leaseId, new Lease(seconds, nowNanos + seconds * NANOS_PER_SECOND));
        return responseWithHeader().put("ID", Long.toString(leaseId)).put("TTL", Long.toString(seconds));
    }

    /** Renews a lease; the response has no time to live if the lease has expired. */
    synchronized ObjectNode renewLease(JsonNode request, long nowNanos) {
        expireLeases(nowNanos);
        long leaseId = request.path("ID").asLong();
        ObjectNode result = responseWithHeader().put("ID", Long.toString(leaseId));
        Lease lease = leases.get(leaseId);
        if (lease != null) {
            leases.put(leaseId, new Lease(lease.ttlSeconds(), nowNanos + lease.ttlSeconds() * NANOS_PER_SECOND));
            result.put("TTL", Long.toString(lease.ttlSeconds()));
        }
        ObjectNode response = MAPPER.createObjectNode();
        response.set("result", result);
        return response;
    }

    /** Removes the expired leases and deletes the keys that are attached to them. */
    synchronized void expireLeases(long nowNanos) {
        List<Long> expired = new ArrayList<>();
        leases.forEach((leaseId, lease) -> {
            if (lease.expiryNanos() - nowNanos <= 0) {
                expired.add(leaseId);
            }
        });
        expired.forEach(this::expireLease);
    }

    /** Starts a watch; the receiver gets the response that confirms its creation, and then each change. */
    synchronized Watch createWatch(JsonNode createRequest, Consumer<ObjectNode> receiver) {
        Watch watch = new Watch(key(createRequest), rangeEnd(createRequest), receiver);
        watches.add(watch);
        ObjectNode result = responseWithHeader().put("watch_id", "0").put("created", true);
        receiver.accept(wrap(result));
        return watch;
    }

    synchronized void cancelWatch(Watch watch) {
        watches.remove(watch);
    }

    synchronized long revision() {
        return revision;
    }

    int watchCount() {
        return watches.size();
    }

    private void expireLease(long leaseId) {
        leases.remove(leaseId);
        long writeRevision = revision + 1;
        List<String> keys = new ArrayList<>();
        keyValues.forEach((key, pair) -> {
            if (pair.leaseId() == leaseId) {
                keys.add(key);
            }
        });
        List<ObjectNode> events = new ArrayList<>();
        keys.forEach(key -> delete(key, writeRevision, events));
        commitAndNotify(writeRevision, events);
    }

    private boolean isTrue(JsonNode comparison) throws RejectedRequestException {
        String target = comparison.path("target").asText("VERSION");
        String result = comparison.path("result").asText("EQUAL");
        if (!target.equals("MOD") || !result.equals("EQUAL")) {
            throw new RejectedRequestException("compare: expected MOD EQUAL, got " + target + " " + result);
        }
        KeyValue pair = keyValues.get(key(comparison));
        long actual = pair == null ? 0 : pair.modificationRevision();
        return actual == comparison.path("mod_revision").asLong();
    }

    private void checkLease(JsonNode operation) throws RejectedRequestException {
        long leaseId = operation.path("request_put").path("lease").asLong();
        if (leaseId != 0 && !leases.containsKey(leaseId)) {
            throw new RejectedRequestException("etcdserver: requested lease not found");
        }
    }

    private ObjectNode apply(JsonNode operation, long writeRevision, List<ObjectNode> events) {
        ObjectNode response = MAPPER.createObjectNode();
        if (operation.has("request_put")) {
            put(operation.path("request_put"), writeRevision, events);
            response.putObject("response_put");
        } else if (operation.has("request_delete_range")) {
            List<String> keys = new ArrayList<>(
                    keyValuesInRange(operation.path("request_delete_range")).keySet());
            keys.forEach(key -> delete(key, writeRevision, events));
            response.putObject("response_delete_range").put("deleted", Integer.toString(keys.size()));
        } else {
            response.set("response_range", range(operation.path("request_range")));
        }
        return response;
    }

    private void put(JsonNode request, long writeRevision, List<ObjectNode> events) {
        String key = key(request);
        KeyValue old = keyValues.get(key);
        KeyValue pair = new KeyValue(
                request.path("value").asText(),
                old == null ? writeRevision : old.creationRevision(),
                writeRevision,
                old == null ? 1 : old.version() + 1,
                request.path("lease").asLong());
        keyValues.put(key, pair);
        ObjectNode event = MAPPER.createObjectNode();
        event.set("kv", keyValueJson(key, pair, false));
        events.add(event);
    }

    private void delete(String key, long writeRevision, List<ObjectNode> events) {
        keyValues.remove(key);
        ObjectNode event = MAPPER.createObjectNode().put("type", "DELETE");
        event.putObject("kv").put("key", encode(key)).put("mod_revision", Long.toString(writeRevision));
        events.add(event);
    }

    private void commitAndNotify(long writeRevision, List<ObjectNode> events) {
        if (events.isEmpty()) {
            return;
        }
        revision = writeRevision;
        for (Watch watch : watches) {
            ArrayNode matching = MAPPER.createArrayNode();
            for (ObjectNode event : events) {
                if (watch.covers(decode(event.path("kv").path("key").asText()))) {
                    matching.add(event);
                }
            }
            if (!matching.isEmpty()) {
                ObjectNode result = responseWithHeader().put("watch_id", "0");
                result.set("events", matching);
                watch.receiver().accept(wrap(result));
            }
        }
    }

    private NavigableMap<String, KeyValue> keyValuesInRange(JsonNode request) {
        String first = key(request);
        String end = rangeEnd(request);
        if (end == null) {
            return keyValues.subMap(first, true, first, true);
        }
        return end.equals(UNBOUNDED_END) ? keyValues.tailMap(first, true) : keyValues.subMap(first, true, end, false);
    }

    private ObjectNode responseWithHeader() {
        ObjectNode response = MAPPER.createObjectNode();
        response.putObject("header")
                .put("cluster_id", "1")
                .put("member_id", "1")
                .put("revision", Long.toString(revision))
                .put("raft_term", "1");
        return response;
    }

    private static ObjectNode wrap(ObjectNode result) {
        ObjectNode message = MAPPER.createObjectNode();
        message.set("result", result);
        return message;
    }

    private static ObjectNode keyValueJson(String key, KeyValue pair, boolean keysOnly) {
        ObjectNode node = MAPPER.createObjectNode()
                .put("key", encode(key))
                .put("create_revision", Long.toString(pair.creationRevision()))
                .put("mod_revision", Long.toString(pair.modificationRevision()))
                .put("version", Long.toString(pair.version()));
        if (!keysOnly && !pair.encodedValue().isEmpty()) {
            node.put("value", pair.encodedValue());
        }
        return pair.leaseId() == 0 ? node : node.put("lease", Long.toString(pair.leaseId()));
    }

    private static String key(JsonNode request) {
        return decode(request.path("key").asText());
    }

    private static @Nullable String rangeEnd(JsonNode request) {
        return request.has("range_end") ? decode(request.path("range_end").asText()) : null;
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
    }

    private static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.ISO_8859_1));
    }

    private record KeyValue(
            String encodedValue, long creationRevision, long modificationRevision, long version, long leaseId) {}

    private record Lease(long ttlSeconds, long expiryNanos) {}

    /** An open watch of a key or of a range of keys. */
    record Watch(String firstKey, @Nullable String rangeEnd, Consumer<ObjectNode> receiver) {
        boolean covers(String key) {
            if (rangeEnd == null) {
                return key.equals(firstKey);
            }
            boolean beforeEnd = rangeEnd.equals(UNBOUNDED_END) || key.compareTo(rangeEnd) < 0;
            return key.compareTo(firstKey) >= 0 && beforeEnd;
        }
    }

    /** Thrown if the store rejects a request without executing it. */
    static final class RejectedRequestException extends Exception {
        private static final long serialVersionUID = 1;

        RejectedRequestException(String message) {
            super(message);
        }
    }
}
