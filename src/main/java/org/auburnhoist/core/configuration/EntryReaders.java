package org.auburnhoist.core.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.auburnhoist.core.TrafficClass;
import org.jspecify.annotations.Nullable;

/** Reads the fields of teams, keys, services, servers and routes. */
final class EntryReaders {
    /** Field of a key that names its team. */
    static final String TEAM = "team";

    /** Field of a route that names its service. */
    static final String SERVICE = "service";

    static final Set<String> TEAM_FIELDS = Set.of("rate-per-second", "burst", "weight");
    static final Set<String> KEY_FIELDS = Set.of("team", "secret-sha256", "withdrawn");
    static final Set<String> SERVICE_FIELDS =
            Set.of("slots-per-server", "connections-per-server", "floor", "profile", "servers");
    static final Set<String> SERVER_FIELDS = Set.of("address", "data-centre", "leaving");
    static final Set<String> ROUTE_FIELDS = Set.of("methods", "path", "service", "class", "callers", "timeout");

    /** Maximum rate of a team, in requests per second; higher than the target rate of the whole fleet. */
    static final double MAX_RATE = 1_000_000;

    /** Minimum rate of a team, in requests per second: one request in about 17 minutes. */
    static final double MIN_RATE = 0.001;

    static final int MAX_BURST = 1_000_000;
    static final int MAX_WEIGHT = 1_000;
    static final int MAX_SLOTS = 1_000;
    static final int MAX_CONNECTIONS = 100_000;
    static final Duration MIN_TIMEOUT = Duration.ofMillis(10);
    static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);

    /** Hashes of secrets from examples and password lists, which are refused because anyone can guess the secret. */
    private static final Set<String> GUESSABLE_HASHES = Stream.of(
                    "",
                    "a",
                    "admin",
                    "changeme",
                    "demo",
                    "example",
                    "key",
                    "letmein",
                    "password",
                    "password1",
                    "qwerty",
                    "secret",
                    "test",
                    "token",
                    "1",
                    "123",
                    "1234",
                    "12345",
                    "123456",
                    "12345678",
                    "123456789",
                    "null")
            .map(Sha256::hex)
            .collect(Collectors.toUnmodifiableSet());

    private static final Pattern REPEATED_CHARACTER = Pattern.compile("(.)\\1{63}");
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m)");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

    private static final Map<TrafficClass, List<String>> ALLOWED_METHODS = Map.of(
            TrafficClass.LOOKUP, List.of("GET", "HEAD", "OPTIONS"),
            TrafficClass.DOWNLOAD, List.of("GET", "HEAD"),
            TrafficClass.BOOKING, List.of("POST", "PUT", "PATCH", "DELETE"));

    private EntryReaders() {}

    static @Nullable Team team(String name, Fields fields, FindingCollector findings) {
        Double rate = fields.decimal(
                "rate-per-second", MIN_RATE, MAX_RATE, "requests per second, a number from 0.001 to 1000000");
        Integer burst = fields.integer("burst", 1, MAX_BURST, "requests");
        Integer weight = fields.integer("weight", 1, MAX_WEIGHT, "shares");
        if (rate == null || burst == null || weight == null) {
            return null;
        }
        return new Team(name, rate, burst, weight);
    }

    static @Nullable Key key(String id, Fields fields, FindingCollector findings) {
        String team = fields.reference(TEAM, "the name of a team");
        String hash = secretHash(fields, findings);
        Boolean withdrawn = fields.flag("withdrawn");
        if (team == null || hash == null || withdrawn == null) {
            return null;
        }
        return new Key(id, team, hash, withdrawn);
    }

    /** Reads the hash; findings never show the value, because a secret may have been entered instead of its hash. */
    private static @Nullable String secretHash(Fields fields, FindingCollector findings) {
        String field = "secret-sha256";
        String expected = "the SHA-256 of the secret as 64 lower-case hexadecimal digits";
        YamlNode node = fields.node(field, expected);
        if (node == null) {
            return null;
        }
        if (!(node instanceof YamlNode.Scalar scalar)) {
            findings.add(fields.locationOf(field), expected, FindingCollector.excerpt(node));
            return null;
        }
        String text = scalar.text();
        if (!Sha256.isHexDigest(text)) {
            findings.add(fields.locationOf(field), expected, text.length() + " characters of another form");
            return null;
        }
        if (GUESSABLE_HASHES.contains(text) || REPEATED_CHARACTER.matcher(text).matches()) {
            findings.add(
                    fields.locationOf(field), "the hash of a random secret", "the hash of a secret easily guessed");
            return null;
        }
        return text;
    }

    static @Nullable Service service(String name, Fields fields, FindingCollector findings) {
        Integer slots = fields.integer("slots-per-server", 1, MAX_SLOTS, "requests at a time");
        Integer connections = fields.integer("connections-per-server", 1, MAX_CONNECTIONS, "connections");
        Double floor = fields.decimal("floor", 0, 1, "a share of the servers from 0 to 1");
        DetectionProfile profile = enumValue(fields, "profile", DetectionProfile.values());
        List<Server> servers = servers(fields, findings);
        if (slots != null && connections != null && connections < slots) {
            String expected = "at least as many connections as slots (" + slots + ")";
            findings.add(fields.locationOf("connections-per-server"), expected, connections.toString());
            return null;
        }
        if (slots == null || connections == null || floor == null || profile == null || servers == null) {
            return null;
        }
        return new Service(name, slots, connections, floor, profile, servers);
    }

    private static @Nullable List<Server> servers(Fields fields, FindingCollector findings) {
        String expected = "a mapping with a name for each server, at least one";
        YamlNode node = fields.node("servers", expected);
        if (node == null) {
            return null;
        }
        if (node instanceof YamlNode.Mapping mapping && mapping.fields().isEmpty()) {
            findings.add(fields.locationOf("servers"), expected, "an empty mapping");
            return null;
        }
        Section<Server> section = new Section<>("server", SERVER_FIELDS, EntryReaders::server);
        section.read(node, fields.locationOf("servers"), findings);
        return List.copyOf(section.values().values());
    }

    private static @Nullable Server server(String name, Fields fields, FindingCollector findings) {
        String address = fields.parsed(
                "address",
                "an IP address with a port, such as 192.0.2.7:8080 or [2001:db8::7]:8080 (names are not resolved)",
                false,
                text -> NetworkAddress.isValid(text) ? text : null);
        String dataCentre = fields.name("data-centre", "the name of a data centre");
        Boolean leaving = fields.flag("leaving");
        if (address == null || dataCentre == null || leaving == null) {
            return null;
        }
        return new Server(name, address, dataCentre, leaving);
    }

    static @Nullable Route route(String name, Fields fields, FindingCollector findings) {
        TrafficClass trafficClass = enumValue(fields, "class", TrafficClass.values());
        Set<String> methods = methods(fields, trafficClass, findings);
        String path = fields.parsed(
                "path",
                "a path in normal form that starts with / and does not end with it, outside " + RouteTable.RESERVED,
                false,
                EntryReaders::routePath);
        String service = fields.reference(SERVICE, "the name of a service");
        Callers callers = Callers.read(fields, trafficClass, findings);
        Duration timeout = fields.parsed(
                "timeout", "a duration from 10ms to 10m, such as 800ms or 5s", true, EntryReaders::duration);
        if (trafficClass == null
                || methods == null
                || path == null
                || service == null
                || callers == null
                || timeout == null) {
            return null;
        }
        return new Route(name, methods, path, service, trafficClass, callers.open(), callers.teams(), timeout);
    }

    private static @Nullable Set<String> methods(
            Fields fields, @Nullable TrafficClass trafficClass, FindingCollector findings) {
        Set<String> methods = fields.texts("methods", "a list of HTTP methods, each once, such as [GET, HEAD]", METHOD);
        if (methods == null || trafficClass == null) {
            return methods;
        }
        List<String> allowed = allowedMethods(trafficClass);
        List<String> notAllowed =
                methods.stream().filter(method -> !allowed.contains(method)).toList();
        if (notAllowed.isEmpty()) {
            return methods;
        }
        String expected = "for class " + nameInFile(trafficClass) + " only " + String.join(", ", allowed);
        findings.add(fields.locationOf("methods"), expected, String.join(", ", notAllowed));
        return null;
    }

    static List<String> allowedMethods(TrafficClass trafficClass) {
        return ALLOWED_METHODS.getOrDefault(trafficClass, List.of());
    }

    private static @Nullable String routePath(String text) {
        boolean isNormalised = RequestPath.normalise(text).fold(reason -> false, text::equals);
        boolean isEndValid = text.length() == 1 || !text.endsWith("/");
        return isNormalised && isEndValid && !RouteTable.isReserved(text) ? text : null;
    }

    private static @Nullable Duration duration(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        long count = Long.parseLong(matcher.group(1));
        Duration duration =
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(count);
                    case "s" -> Duration.ofSeconds(count);
                    default -> Duration.ofMinutes(count);
                };
        boolean inRange = duration.compareTo(MIN_TIMEOUT) >= 0 && duration.compareTo(MAX_TIMEOUT) <= 0;
        return inRange ? duration : null;
    }

    private static <T extends Enum<T>> @Nullable T enumValue(Fields fields, String name, T[] values) {
        String expected =
                "one of " + Stream.of(values).map(EntryReaders::nameInFile).collect(Collectors.joining(", "));
        return fields.parsed(name, expected, true, text -> {
            for (T value : values) {
                if (nameInFile(value).equals(text)) {
                    return value;
                }
            }
            return null;
        });
    }

    /** Returns the name of an enum constant in files, which is its own name in lower case. */
    static String nameInFile(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
