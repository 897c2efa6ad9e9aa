package org.auburnhoist.cli;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.auburnhoist.core.configuration.NetworkAddress;

/**
 * One flag with its equivalent environment variable.
 *
 * <pre>{@code
 * static final Setting<Duration> TIMEOUT = Setting.duration("store-timeout", "maximum wait for the store")
 *         .withDefault(Duration.ofSeconds(5));
 * }</pre>
 *
 * @param flag name without the leading hyphens, in lower case with hyphens
 * @param valueName placeholder in the help text, empty for a flag without a value
 * @param description one clause for the help text
 * @param expected the accepted format, for messages
 * @param parser reads a value; empty if it is malformed
 * @param defaultValue used if the setting is absent
 * @param required whether the setting must be given
 * @param confidential whether messages must not show the value
 */
public record Setting<T>(
        String flag,
        String valueName,
        String description,
        String expected,
        Function<String, Optional<T>> parser,
        Optional<T> defaultValue,
        boolean required,
        boolean confidential) {
    /** Prefix of all environment variables that the program reads. */
    public static final String ENVIRONMENT_PREFIX = "AUBURNHOIST_";

    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,18}");

    /** A setting with its own format. */
    public static <T> Setting<T> of(
            String flag, String valueName, String description, String expected, Function<String, Optional<T>> parser) {
        return new Setting<>(flag, valueName, description, expected, parser, Optional.empty(), false, false);
    }

    /** A text that matches a pattern. */
    public static Setting<String> text(
            String flag, String valueName, String description, String expected, Pattern pattern) {
        return of(
                flag,
                valueName,
                description,
                expected,
                value -> Optional.of(value).filter(text -> pattern.matcher(text).matches()));
    }

    /** A whole number in a range. */
    public static Setting<Long> integer(String flag, String description, long minimum, long maximum) {
        String expected = "a whole number from " + minimum + " to " + maximum;
        return of(
                flag,
                "NUMBER",
                description,
                expected,
                value -> Optional.of(value)
                        .filter(text -> INTEGER.matcher(text).matches())
                        .map(Long::parseLong)
                        .filter(number -> number >= minimum && number <= maximum));
    }

    /** One of the constants of an enum, in lower case with hyphens. */
    public static <E extends Enum<E>> Setting<E> choice(String flag, String description, Class<E> type) {
        Map<String, E> choices = new LinkedHashMap<>();
        for (E constant : type.getEnumConstants()) {
            choices.put(constant.name().toLowerCase(Locale.ROOT).replace('_', '-'), constant);
        }
        String expected = "one of " + String.join(", ", choices.keySet());
        return of(flag, "CHOICE", description, expected, value -> Optional.ofNullable(choices.get(value)));
    }

    /** A duration with its unit. */
    public static Setting<Duration> duration(String flag, String description) {
        return of(flag, "DURATION", description, "a duration such as 500ms, 5s, 2m or 1h", Setting::parseDuration);
    }

    /** A path of the file system. */
    public static Setting<Path> path(String flag, String description) {
        return of(flag, "FILE", description, "the path of a file", Setting::parsePath);
    }

    /** One or more IP addresses with ports, separated by commas. */
    public static Setting<List<InetSocketAddress>> addresses(String flag, String description) {
        return of(
                flag,
                "ADDRESS[,ADDRESS...]",
                description,
                "IP addresses with ports, such as 127.0.0.1:2379 (names are not resolved)",
                Setting::parseAddresses);
    }

    /** A flag without a value; in the environment {@code true} or {@code false}. */
    public static Setting<Boolean> flag(String flag, String description) {
        Setting<Boolean> setting = of(flag, "", description, "true or false", value -> switch (value) {
            case "true" -> Optional.of(Boolean.TRUE);
            case "false" -> Optional.of(Boolean.FALSE);
            default -> Optional.empty();
        });
        return setting.withDefault(false);
    }

    /** The same setting with a value that is used if the setting is absent. */
    public Setting<T> withDefault(T value) {
        return new Setting<>(flag, valueName, description, expected, parser, Optional.of(value), false, confidential);
    }

    /** The same setting, which must be given. */
    public Setting<T> asRequired() {
        return new Setting<>(flag, valueName, description, expected, parser, Optional.empty(), true, confidential);
    }

    /** The same setting, whose value messages do not show. */
    public Setting<T> asConfidential() {
        return new Setting<>(flag, valueName, description, expected, parser, defaultValue, required, true);
    }

    /** The name of the environment variable. */
    public String variable() {
        return ENVIRONMENT_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    /** Whether the flag takes a value. */
    public boolean hasValue() {
        return !valueName.isEmpty();
    }

    private static Optional<Path> parsePath(String value) {
        try {
            return value.isEmpty() ? Optional.empty() : Optional.of(Path.of(value));
        } catch (InvalidPathException invalid) {
            return Optional.empty();
        }
    }

    private static Optional<Duration> parseDuration(String value) {
        Matcher matcher = DURATION.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long count = Long.parseLong(matcher.group(1));
        return Optional.of(
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(count);
                    case "s" -> Duration.ofSeconds(count);
                    case "m" -> Duration.ofMinutes(count);
                    default -> Duration.ofHours(count);
                });
    }

    private static Optional<List<InetSocketAddress>> parseAddresses(String value) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : value.split(",", -1)) {
            if (!NetworkAddress.isValid(text)) {
                return Optional.empty();
            }
            int colon = text.lastIndexOf(':');
            // An IP address literal is not resolved through DNS.
            addresses.add(new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
        }
        return Optional.of(List.copyOf(addresses));
    }
}
