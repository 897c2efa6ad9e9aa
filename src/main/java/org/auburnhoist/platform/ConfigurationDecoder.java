package org.auburnhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.Sha256;
import org.auburnhoist.core.routing.TeamPolicy;
import org.auburnhoist.core.routing.TrafficConfiguration;
import org.auburnhoist.core.routing.TrafficRoute;
import org.auburnhoist.core.routing.WeightedService;

/** Decodes the operators' configuration, as stored in the platform's key-value store. */
final class ConfigurationDecoder {
    private static final String VERSION_PREFIX = "r";

    private ConfigurationDecoder() {}

    static TrafficConfiguration decode(byte[] stored) throws IOException {
        JsonNode root = Json.read(stored);
        if (!root.isObject()) {
            throw new IOException("configuration: expected an object");
        }
        Set<String> services = new HashSet<>();
        root.path("services")
                .forEach(service -> services.add(service.path("name").asText()));
        Map<String, TeamPolicy> teams = new HashMap<>();
        Map<String, String> teamsByKey = new HashMap<>();
        for (JsonNode team : root.path("tenants")) {
            String name = string(team, "name");
            teams.put(
                    name,
                    new TeamPolicy(
                            name,
                            team.path("priority").isInt()
                                    ? team.path("priority").asInt()
                                    : -1,
                            team.path("rate_per_s").asDouble(0),
                            team.path("burst_size").asDouble(0)));
            team.path("api_keys").forEach(key -> teamsByKey.put(Sha256.hex(key.asText()), name));
        }
        return new TrafficConfiguration(version(root), routes(root), services, teams, teamsByKey);
    }

    private static List<TrafficRoute> routes(JsonNode root) throws IOException {
        List<TrafficRoute> routes = new ArrayList<>();
        for (JsonNode route : root.path("routes")) {
            routes.add(new TrafficRoute(
                    string(route, "name"),
                    string(route, "host").toLowerCase(Locale.ROOT),
                    string(route, "path_prefix"),
                    trafficClass(string(route, "kind")),
                    route.path("timeout_ms").asLong(0),
                    route.path("target_latency_ms").asLong(0),
                    route.path("priority").asInt(0),
                    services(route),
                    Math.max(1, route.path("max_attempts").asInt(1)),
                    route.path("auth_exempt").asBoolean(false)));
        }
        return routes;
    }

    private static List<WeightedService> services(JsonNode route) throws IOException {
        if (route.hasNonNull("service")) {
            return List.of(new WeightedService(string(route, "service"), 1));
        }
        List<WeightedService> services = new ArrayList<>();
        for (JsonNode backend : route.path("weighted_backends")) {
            services.add(new WeightedService(
                    string(backend, "service"),
                    Math.max(0, backend.path("weight").asInt(0))));
        }
        if (services.isEmpty()) {
            throw new IOException("route " + route.path("name").asText() + ": expected a service");
        }
        return services;
    }

    /** An unknown kind is treated as a booking, the strictest class: its requests run at most once. */
    private static TrafficClass trafficClass(String kind) {
        return switch (kind) {
            case "safe" -> TrafficClass.LOOKUP;
            case "download" -> TrafficClass.DOWNLOAD;
            default -> TrafficClass.BOOKING;
        };
    }

    private static long version(JsonNode root) throws IOException {
        String text = string(root, "version");
        try {
            return Long.parseLong(text.substring(text.startsWith(VERSION_PREFIX) ? VERSION_PREFIX.length() : 0));
        } catch (NumberFormatException malformed) {
            throw new IOException("version: expected r and a number, got " + text, malformed);
        }
    }

    private static String string(JsonNode node, String field) throws IOException {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IOException(field + ": expected a string, got " + value);
        }
        return value.asText();
    }
}
