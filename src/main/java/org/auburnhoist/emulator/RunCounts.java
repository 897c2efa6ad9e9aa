package org.auburnhoist.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts what reached the emulated upstream servers: executions of each operation, and leaked keys of callers. */
public final class RunCounts {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, Integer> runsByOperation = new ConcurrentHashMap<>();
    private final LongAdder totalRuns = new LongAdder();
    private final LongAdder authorizationHeaders = new LongAdder();
    private final LongAdder cancelled = new LongAdder();
    private final LongAdder shed = new LongAdder();

    RunCounts() {}

    int countRun(String operationId) {
        totalRuns.increment();
        return operationId.isEmpty() ? 0 : runsByOperation.merge(operationId, 1, Integer::sum);
    }

    void countAuthorizationHeader() {
        authorizationHeaders.increment();
    }

    void countCancelled() {
        cancelled.increment();
    }

    void countShed() {
        shed.increment();
    }

    /** Executions of one operation, over all servers. */
    public int runsOf(String operationId) {
        return runsByOperation.getOrDefault(operationId, 0);
    }

    /** Ids of the operations that were executed more than once. */
    public Set<String> duplicates() {
        Set<String> duplicates = new TreeSet<>();
        runsByOperation.forEach((operationId, count) -> {
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

    /** Requests whose execution was started, with or without an operation id. */
    public long totalRuns() {
        return totalRuns.sum();
    }

    /** Requests that were cancelled because their connection was closed. */
    public long cancelled() {
        return cancelled.sum();
    }

    /** Requests that were refused with status 503 before they were executed. */
    public long shed() {
        return shed.sum();
    }

    ObjectNode toJson() {
        ObjectNode json = MAPPER.createObjectNode()
                .put("runs", totalRuns())
                .put("operations", runsByOperation.size())
                .put("authorizationHeaders", authorizationHeaders())
                .put("cancelled", cancelled())
                .put("shed", shed());
        ArrayNode duplicates = json.putArray("duplicates");
        duplicates().forEach(duplicates::add);
        return json;
    }
}
