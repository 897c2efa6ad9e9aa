package org.auburnhoist.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Facts about what reached the emulated upstreams: runs of each operation, and callers' keys. */
public final class RunCounts {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final LongAdder totalRuns = new LongAdder();
    private final LongAdder authorizationHeaders = new LongAdder();
    private final LongAdder cancelled = new LongAdder();
    private final LongAdder shed = new LongAdder();

    RunCounts() {}

    int ran(String operationId) {
        totalRuns.increment();
        return operationId.isEmpty() ? 0 : runs.merge(operationId, 1, Integer::sum);
    }

    void authorizationSeen() {
        authorizationHeaders.increment();
    }

    void cancelledOne() {
        cancelled.increment();
    }

    void shedOne() {
        shed.increment();
    }

    /** Runs of one operation over all servers. */
    public int runsOf(String operationId) {
        return runs.getOrDefault(operationId, 0);
    }

    /** Operations that ran more than once. */
    public Set<String> duplicates() {
        Set<String> duplicates = new TreeSet<>();
        runs.forEach((operationId, count) -> {
            if (count > 1) {
                duplicates.add(operationId);
            }
        });
        return duplicates;
    }

    /** Requests that carried an {@code Authorization} header. */
    public long authorizationHeaders() {
        return authorizationHeaders.sum();
    }

    /** Work that was started, with or without an operation id. */
    public long totalRuns() {
        return totalRuns.sum();
    }

    /** Work that was given up because its connection closed. */
    public long cancelled() {
        return cancelled.sum();
    }

    /** Requests refused with 503 before they ran. */
    public long shed() {
        return shed.sum();
    }

    ObjectNode json() {
        ObjectNode json = MAPPER.createObjectNode()
                .put("runs", totalRuns())
                .put("operations", runs.size())
                .put("authorizationHeaders", authorizationHeaders())
                .put("cancelled", cancelled())
                .put("shed", shed());
        ArrayNode duplicates = json.putArray("duplicates");
        duplicates().forEach(duplicates::add);
        return json;
    }
}
