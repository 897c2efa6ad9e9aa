package org.auburnhoist.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.auburnhoist.core.HostId;
import org.auburnhoist.core.Refusal;
import org.auburnhoist.core.blackboard.BlackboardSnapshot;
import org.auburnhoist.core.configuration.AccessDecision;
import org.auburnhoist.core.configuration.KeyCheck;
import org.auburnhoist.core.membership.AddressRanking;
import org.auburnhoist.core.membership.FreshnessTable;
import org.auburnhoist.core.membership.Member;
import org.auburnhoist.core.message.RecordedResponse;
import org.auburnhoist.core.operation.OperationId;
import org.auburnhoist.proxy.Admission;
import org.auburnhoist.proxy.RequestHead;
import org.jspecify.annotations.Nullable;

/** Endpoints that a host serves itself: addresses to use, new operation ids, metrics, and the versions in force. */
final class LocalEndpoints {
    static final String PREFIX = "/.auburnhoist/";

    private static final String ADDRESSES = PREFIX + "addresses";
    private static final String OPERATIONS = PREFIX + "operations";
    private static final String METRICS = PREFIX + "metrics";
    private static final String VERSIONS = PREFIX + "versions";
    private static final int MAX_IDS = 100;
    private static final long RETRY_MILLIS = 2_000;

    /**
     * A host whose last known contact is older than this is not listed, even if it is not yet removed from the roster.
     */
    private static final Duration MAX_CONTACT_AGE = Duration.ofSeconds(4);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Supplier<BlackboardSnapshot> snapshot;
    private final ControlThread control;
    private final HostControllers controllers;
    private final HostMetrics metrics;
    private final Duration addressValidity;

    LocalEndpoints(
            Supplier<BlackboardSnapshot> view,
            ControlThread control,
            HostControllers controllers,
            HostMetrics metrics,
            Duration addressValidity) {
        this.snapshot = view;
        this.control = control;
        this.controllers = controllers;
        this.metrics = metrics;
        this.addressValidity = addressValidity;
    }

    static boolean isLocal(String path) {
        return path.startsWith(PREFIX);
    }

    CompletionStage<Admission> handle(RequestHead head, long nowNanos) {
        String key = head.method() + " " + head.path();
        if (key.equals("GET " + VERSIONS)) {
            return compute(this::versions);
        }
        if (key.equals("GET " + METRICS)) {
            return compute(now -> text(metrics.prometheusText()));
        }
        if (key.equals("GET " + ADDRESSES)) {
            String team = teamOf(head);
            return compute(now -> addresses(team, now));
        }
        if (key.equals("POST " + OPERATIONS)) {
            int count = requestedCount(head.query());
            return checkIdRequest(head, nowNanos)
                    .map(refusal ->
                            completedRefusal(refusal, "operation ids need a valid key at a host in contact", -1))
                    .orElseGet(() -> compute(now -> operations(count, now)));
        }
        return completedRefusal(Refusal.ROUTE_UNKNOWN, "no such endpoint", -1);
    }

    private Admission versions(long nowNanos) {
        ObjectNode response = MAPPER.createObjectNode();
        BlackboardSnapshot current = snapshot.get();
        response.put("host", current.self().toString());
        response.put("configurationVersion", current.activeConfiguration().version());
        response.put(
                "rosterVersion", current.roster() == null ? 0 : current.roster().version());
        response.put("member", current.isMember());
        response.put("fresh", current.isFresh(nowNanos));
        response.put("leaving", current.stopping());
        FreshnessTable table = controllers.board().freshness();
        response.put("settledConfigurationVersion", table == null ? 0 : table.settledConfigurationVersion());
        return json(200, response);
    }

    private Admission addresses(String team, long nowNanos) {
        FreshnessTable table = controllers.board().freshness();
        if (table == null || !table.isFresh(nowNanos)) {
            return new Admission.Refused(
                    Refusal.HOST_ISOLATED, "this host has lost contact with the fleet", RETRY_MILLIS, List.of());
        }
        List<HostId> owners = team.isEmpty() ? List.of() : controllers.limits().owners(team);
        ObjectNode response = MAPPER.createObjectNode();
        response.put("validForSeconds", addressValidity.toSeconds());
        ArrayNode list = response.putArray("addresses");
        List<Member> ranked = AddressRanking.rank(table, team, owners, MAX_CONTACT_AGE, nowNanos);
        for (Member member : controllers.hostList().withoutLeaving(ranked, nowNanos)) {
            list.addObject()
                    .put("address", member.callerAddress())
                    .put("dataCentre", member.dataCentre())
                    .put("host", member.id().name());
        }
        return json(200, response);
    }

    private Admission operations(int count, long nowNanos) {
        ObjectNode response = MAPPER.createObjectNode();
        ArrayNode ids = response.putArray("operationIds");
        for (int index = 0; index < count; index++) {
            OperationId id = controllers.operations().issue(nowNanos);
            if (id == null) {
                return new Admission.Refused(
                        Refusal.HOST_ISOLATED, "this host issues no operation ids now", RETRY_MILLIS, List.of());
            }
            ids.add(id.encode());
        }
        return json(201, response);
    }

    private Optional<Refusal> checkIdRequest(RequestHead head, long nowNanos) {
        if (!snapshot.get().isFresh(nowNanos)) {
            return Optional.of(Refusal.HOST_ISOLATED);
        }
        KeyCheck check = checkKey(head);
        if (check instanceof KeyCheck.Accepted) {
            return Optional.empty();
        }
        if (check instanceof KeyCheck.Withdrawn) {
            return Optional.of(Refusal.KEY_WITHDRAWN);
        }
        return Optional.of(check instanceof KeyCheck.Missing ? Refusal.KEY_MISSING : Refusal.KEY_UNKNOWN);
    }

    private String teamOf(RequestHead head) {
        return checkKey(head) instanceof KeyCheck.Accepted accepted ? accepted.team() : "";
    }

    private KeyCheck checkKey(RequestHead head) {
        AccessDecision decision = snapshot.get()
                .activeConfiguration()
                .access()
                .decide(head.method(), head.path(), head.header(HostPolicy.AUTHORIZATION));
        return decision instanceof AccessDecision.Reserved reserved ? reserved.key() : new KeyCheck.Missing();
    }

    private static int requestedCount(@Nullable String query) {
        if (query == null || !query.matches("count=\\d{1,4}")) {
            return 1;
        }
        return Math.max(1, Math.min(MAX_IDS, Integer.parseInt(query.substring("count=".length()))));
    }

    private CompletionStage<Admission> compute(LongFunction<Admission> task) {
        return control.compute(task)
                .exceptionally(failure -> new Admission.Refused(
                        Refusal.SERVICE_OVERLOADED, "this host is overloaded", RETRY_MILLIS, List.of()));
    }

    private static CompletionStage<Admission> completedRefusal(Refusal refusal, String detail, long retryAfterMillis) {
        return CompletableFuture.completedFuture(new Admission.Refused(refusal, detail, retryAfterMillis, List.of()));
    }

    private static Admission text(String content) {
        return new Admission.Answered(new RecordedResponse(
                200,
                List.of(Map.entry("Content-Type", "text/plain; version=0.0.4")),
                content.getBytes(StandardCharsets.UTF_8),
                true));
    }

    private static Admission json(int status, JsonNode content) {
        try {
            byte[] body = MAPPER.writeValueAsBytes(content);
            return new Admission.Answered(new RecordedResponse(
                    status,
                    List.of(Map.entry("Content-Type", "application/json"), Map.entry("Cache-Control", "no-store")),
                    body,
                    true));
        } catch (JsonProcessingException cause) {
            throw new IllegalStateException("encoding a JSON tree failed", cause);
        }
    }
}
