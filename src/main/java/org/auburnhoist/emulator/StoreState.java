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
 * Keys, revisions, leases and watches of the emulated store, in the JSON of the etcd v3 HTTP gateway.
 *
 * <p>Supported: ranges, transactions that compare modification revisions for equality, leases, watches without a start
 * revision. Keys are held as ISO 8859-1 strings, whose order is the order of their bytes.
 */
final class StoreState {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String ALL_FURTHER_KEYS = "\0";

    private final NavigableMap<String, Pair> pairs = new TreeMap<>();
    private final Map<Long, Lease> leases = new TreeMap<>();
    private final List<Watch> watches = new CopyOnWriteArrayList<>();
    private long revision = 1;
    private long lastLeaseId = 1_000;

    /** Answers a read. */
    synchronized ObjectNode range(JsonNode request) {
        boolean keysOnly = request.path("keys_only").asBoolean();
        ObjectNode answer = answer();
        ArrayNode found = MAPPER.createArrayNode();
        selected(request).forEach((key, pair) -> found.add(pair(key, pair, keysOnly)));
        if (!found.isEmpty()) {
            answer.set("kvs", found);
            answer.put("count", Integer.toString(found.size()));
        }
        return answer;
    }

    /**
     * Carries out a transaction.
     *
     * @throws RejectedRequestException if it is not supported or names an unknown lease; nothing is written then
     */
    synchronized ObjectNode transaction(JsonNode request) throws RejectedRequestException {
        boolean succeeded = true;
        for (JsonNode comparison : request.path("compare")) {
            succeeded &= holds(comparison);
        }
        JsonNode operations = request.path(succeeded ? "success" : "failure");
        for (JsonNode operation : operations) {
            check(operation);
        }
        List<ObjectNode> events = new ArrayList<>();
        ArrayNode responses = MAPPER.createArrayNode();
        long writeRevision = revision + 1;
        for (JsonNode operation : operations) {
            responses.add(apply(operation, writeRevision, events));
        }
        publish(writeRevision, events);
        ObjectNode answer = answer();
        if (succeeded) {
            answer.put("succeeded", true);
        }
        answer.set("responses", responses);
        return answer;
    }

    /** Grants a lease. */
    synchronized ObjectNode grant(JsonNode request, long nowNanos) throws RejectedRequestException {
        long seconds = request.path("TTL").asLong();
        if (seconds <= 0) {
            throw new RejectedRequestException("TTL: expected a positive number of seconds, got " + seconds);
        }
        long leaseId = ++lastLeaseId;
        leases.put(leaseId, new Lease(seconds, nowNanos + seconds * NANOS_PER_SECOND));
        return answer().put("ID", Long.toString(leaseId)).put("TTL", Long.toString(seconds));
    }

    /** Renews a lease; the answer has no time to live if the lease has expired. */
    synchronized ObjectNode keepAlive(JsonNode request, long nowNanos) {
        expireLeases(nowNanos);
        long leaseId = request.path("ID").asLong();
        ObjectNode result = answer().put("ID", Long.toString(leaseId));
        Lease lease = leases.get(leaseId);
        if (lease != null) {
            leases.put(leaseId, new Lease(lease.seconds(), nowNanos + lease.seconds() * NANOS_PER_SECOND));
            result.put("TTL", Long.toString(lease.seconds()));
        }
        ObjectNode answer = MAPPER.createObjectNode();
        answer.set("result", result);
        return answer;
    }

    /** Deletes the keys of leases that have expired. */
    synchronized void expireLeases(long nowNanos) {
        List<Long> expired = new ArrayList<>();
        leases.forEach((leaseId, lease) -> {
            if (lease.expiryNanos() - nowNanos <= 0) {
                expired.add(leaseId);
            }
        });
        expired.forEach(this::expire);
    }

    /** Starts a watch; the receiver gets the answer that confirms it, and then each change. */
    synchronized Watch watch(JsonNode createRequest, Consumer<ObjectNode> receiver) {
        Watch watch = new Watch(firstKey(createRequest), endOf(createRequest), receiver);
        watches.add(watch);
        ObjectNode result = answer().put("watch_id", "0").put("created", true);
        receiver.accept(wrap(result));
        return watch;
    }

    synchronized void endWatch(Watch watch) {
        watches.remove(watch);
    }

    synchronized long revision() {
        return revision;
    }

    int watchCount() {
        return watches.size();
    }

    private void expire(long leaseId) {
        leases.remove(leaseId);
        long writeRevision = revision + 1;
        List<String> keys = new ArrayList<>();
        pairs.forEach((key, pair) -> {
            if (pair.leaseId() == leaseId) {
                keys.add(key);
            }
        });
        List<ObjectNode> events = new ArrayList<>();
        keys.forEach(key -> delete(key, writeRevision, events));
        publish(writeRevision, events);
    }

    private boolean holds(JsonNode comparison) throws RejectedRequestException {
        String target = comparison.path("target").asText("VERSION");
        String result = comparison.path("result").asText("EQUAL");
        if (!target.equals("MOD") || !result.equals("EQUAL")) {
            throw new RejectedRequestException("compare: expected MOD EQUAL, got " + target + " " + result);
        }
        Pair pair = pairs.get(firstKey(comparison));
        long actual = pair == null ? 0 : pair.modificationRevision();
        return actual == comparison.path("mod_revision").asLong();
    }

    private void check(JsonNode operation) throws RejectedRequestException {
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
                    selected(operation.path("request_delete_range")).keySet());
            keys.forEach(key -> delete(key, writeRevision, events));
            response.putObject("response_delete_range").put("deleted", Integer.toString(keys.size()));
        } else {
            response.set("response_range", range(operation.path("request_range")));
        }
        return response;
    }

    private void put(JsonNode request, long writeRevision, List<ObjectNode> events) {
        String key = firstKey(request);
        Pair old = pairs.get(key);
        Pair pair = new Pair(
                request.path("value").asText(),
                old == null ? writeRevision : old.creationRevision(),
                writeRevision,
                old == null ? 1 : old.version() + 1,
                request.path("lease").asLong());
        pairs.put(key, pair);
        ObjectNode event = MAPPER.createObjectNode();
        event.set("kv", pair(key, pair, false));
        events.add(event);
    }

    private void delete(String key, long writeRevision, List<ObjectNode> events) {
        pairs.remove(key);
        ObjectNode event = MAPPER.createObjectNode().put("type", "DELETE");
        event.putObject("kv").put("key", encode(key)).put("mod_revision", Long.toString(writeRevision));
        events.add(event);
    }

    private void publish(long writeRevision, List<ObjectNode> events) {
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
                ObjectNode result = answer().put("watch_id", "0");
                result.set("events", matching);
                watch.receiver().accept(wrap(result));
            }
        }
    }

    private NavigableMap<String, Pair> selected(JsonNode request) {
        String first = firstKey(request);
        String end = endOf(request);
        if (end == null) {
            return pairs.subMap(first, true, first, true);
        }
        return end.equals(ALL_FURTHER_KEYS) ? pairs.tailMap(first, true) : pairs.subMap(first, true, end, false);
    }

    private ObjectNode answer() {
        ObjectNode answer = MAPPER.createObjectNode();
        answer.putObject("header")
                .put("cluster_id", "1")
                .put("member_id", "1")
                .put("revision", Long.toString(revision))
                .put("raft_term", "1");
        return answer;
    }

    private static ObjectNode wrap(ObjectNode result) {
        ObjectNode message = MAPPER.createObjectNode();
        message.set("result", result);
        return message;
    }

    private static ObjectNode pair(String key, Pair pair, boolean keysOnly) {
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

    private static String firstKey(JsonNode request) {
        return decode(request.path("key").asText());
    }

    private static @Nullable String endOf(JsonNode request) {
        return request.has("range_end") ? decode(request.path("range_end").asText()) : null;
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
    }

    private static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.ISO_8859_1));
    }

    private record Pair(
            String encodedValue, long creationRevision, long modificationRevision, long version, long leaseId) {}

    private record Lease(long seconds, long expiryNanos) {}

    /** A waiting watch. */
    record Watch(String first, @Nullable String end, Consumer<ObjectNode> receiver) {
        boolean covers(String key) {
            if (end == null) {
                return key.equals(first);
            }
            boolean beforeEnd = end.equals(ALL_FURTHER_KEYS) || key.compareTo(end) < 0;
            return key.compareTo(first) >= 0 && beforeEnd;
        }
    }

    /** A request that the store refuses without carrying it out. */
    static final class RejectedRequestException extends Exception {
        private static final long serialVersionUID = 1;

        RejectedRequestException(String message) {
            super(message);
        }
    }
}
