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

/** Reads the operators' configuration as it stands in the platform's store. */
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
            String name = text(team, "name");
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
                    text(route, "name"),
                    text(route, "host").toLowerCase(Locale.ROOT),
                    text(route, "path_prefix"),
                    trafficClass(text(route, "kind")),
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
            return List.of(new WeightedService(text(route, "service"), 1));
        }
        List<WeightedService> services = new ArrayList<>();
        for (JsonNode part : route.path("weighted_backends")) {
            services.add(new WeightedService(
                    text(part, "service"), Math.max(0, part.path("weight").asInt(0))));
        }
        if (services.isEmpty()) {
            throw new IOException("route " + route.path("name").asText() + ": expected a service");
        }
        return services;
    }

    /** A kind that is not known is handled with the most care: it runs at most once. */
    private static TrafficClass trafficClass(String kind) {
        return switch (kind) {
            case "safe" -> TrafficClass.LOOKUP;
            case "download" -> TrafficClass.DOWNLOAD;
            default -> TrafficClass.BOOKING;
        };
    }

    private static long version(JsonNode root) throws IOException {
        String text = text(root, "version");
        try {
            return Long.parseLong(text.substring(text.startsWith(VERSION_PREFIX) ? VERSION_PREFIX.length() : 0));
        } catch (NumberFormatException malformed) {
            throw new IOException("version: expected r and a number, got " + text, malformed);
        }
    }

    private static String text(JsonNode node, String field) throws IOException {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IOException(field + ": expected a text, got " + value);
        }
        return value.asText();
    }
}
