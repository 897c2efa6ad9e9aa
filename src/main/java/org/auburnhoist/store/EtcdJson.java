package org.auburnhoist.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import org.auburnhoist.core.StorePosition;

/** JSON bodies of the etcd v3 HTTP gateway, which encodes bytes as base64 and 64-bit integers as strings. */
final class EtcdJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EtcdJson() {}

    static byte[] bytes(JsonNode body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException cause) {
            throw new IllegalStateException("body: expected a tree that can be written as JSON", cause);
        }
    }

    static JsonNode parse(byte[] body) throws IOException {
        JsonNode node = MAPPER.readTree(body);
        if (!node.isObject()) {
            throw new IOException("expected a JSON object, got " + node.getNodeType());
        }
        return node;
    }

    static ObjectNode get(String key) {
        return MAPPER.createObjectNode().put("key", encode(key));
    }

    static ObjectNode range(String prefix) {
        return get(prefix).put("range_end", Base64.getEncoder().encodeToString(rangeEnd(prefix)));
    }

    /**
     * A transaction that puts or deletes a key if its modification revision is as expected, and otherwise reads the
     * key's current revision.
     *
     * @param key the key to compare
     * @param expectedRevision modification revision that the key must have, 0 if it must be absent
     * @param requestField name of the field that holds the request: {@code request_put} or {@code request_delete_range}
     * @param request the put or delete request
     */
    static ObjectNode transaction(String key, long expectedRevision, String requestField, ObjectNode request) {
        ObjectNode transaction = MAPPER.createObjectNode();
        transaction
                .putArray("compare")
                .addObject()
                .put("key", encode(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expectedRevision));
        transaction.putArray("success").addObject().set(requestField, request);
        ObjectNode revisionRequest = get(key).put("keys_only", true);
        transaction.putArray("failure").addObject().set("request_range", revisionRequest);
        return transaction;
    }

    static ObjectNode put(String key, byte[] value, long leaseId) {
        ObjectNode put = get(key).put("value", Base64.getEncoder().encodeToString(value));
        return leaseId == 0 ? put : put.put("lease", Long.toString(leaseId));
    }

    static ObjectNode grant(Duration timeToLive) {
        return MAPPER.createObjectNode().put("TTL", Long.toString(wholeSeconds(timeToLive)));
    }

    static ObjectNode keepAlive(long leaseId) {
        return MAPPER.createObjectNode().put("ID", Long.toString(leaseId));
    }

    static ObjectNode watch(String prefix) {
        ObjectNode request = MAPPER.createObjectNode();
        request.set("create_request", range(prefix));
        return request;
    }

    static long revision(JsonNode body) {
        return body.path("header").path("revision").asLong();
    }

    static List<Entry> entries(JsonNode rangeResponse) {
        List<Entry> entries = new ArrayList<>();
        for (JsonNode pair : rangeResponse.path("kvs")) {
            entries.add(entry(pair));
        }
        return entries;
    }

    static Entry entry(JsonNode pair) {
        byte[] value = Base64.getDecoder().decode(pair.path("value").asText());
        return new Entry(
                key(pair),
                value,
                StorePosition.ofRevision(pair.path("mod_revision").asLong()));
    }

    static String key(JsonNode pair) {
        return new String(Base64.getDecoder().decode(pair.path("key").asText()), StandardCharsets.UTF_8);
    }

    /** The first key after all keys with the prefix, as the protocol defines it. */
    static byte[] rangeEnd(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        for (int index = end.length - 1; index >= 0; index--) {
            if (end[index] != (byte) 0xff) {
                end[index]++;
                return Arrays.copyOf(end, index + 1);
            }
        }
        return new byte[] {0};
    }

    /** The protocol counts leases in whole seconds; rounding up keeps a lease at least as long as requested. */
    private static long wholeSeconds(Duration duration) {
        return Math.max(1, duration.plusNanos(999_999_999L).toSeconds());
    }

    private static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
    }
}
