package org.auburnhoist.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.configuration.NetworkAddress;
import org.auburnhoist.core.dispatch.FloorSettings;
import org.auburnhoist.core.dispatch.RetryBudgetSettings;
import org.auburnhoist.core.limit.FallbackLimiter;
import org.auburnhoist.gateway.GatewaySettings;
import org.auburnhoist.gateway.StopTimes;
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/**
 * The settings file that the platform gives each process.
 *
 * @param settings settings of the host
 * @param storeAddress address of the platform's key-value store
 */
public record BootFile(GatewaySettings settings, InetSocketAddress storeAddress) {
    /** Callers cache addresses for up to three times this long; a short validity lets a stopping host drain in time. */
    /** By the platform's rules, a server is healthy again this many contact intervals after a disturbance. */
    private static final int CONTACTS_UNTIL_HEALTHY = 2;

    /** Descriptors of the virtual machine's files, of which the platform reserves as many. */
    private static final int FILE_DESCRIPTORS = 200;
    /** Share of the sockets that callers' connections get; servers, other hosts and the platform get the rest. */
    private static final double CALLERS_SHARE_OF_SOCKETS = 2.0 / 3;

    /**
     * An invalid setting.
     *
     * @param place path of the field in the document, joined by dots
     * @param found the value, or "nothing"
     * @param expected description of the valid values
     */
    public record BootFinding(String place, String found, String expected) {
        /** A one-line message for operators. */
        public String describe() {
            return place + ": expected " + expected + ", found " + found;
        }
    }

    /** Thrown if a settings file is invalid; each finding describes one fault. */
    public static final class InvalidBootFileException extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient List<BootFinding> findings;

        InvalidBootFileException(List<BootFinding> findings) {
            super("settings file: " + findings.size() + " findings");
            this.findings = List.copyOf(findings);
        }

        /** All findings, in the order in which the settings are read. */
        public List<BootFinding> findings() {
            return findings;
        }
    }

    /**
     * Reads a settings file.
     *
     * @throws IOException if the file cannot be read
     * @throws InvalidBootFileException if settings are missing, of the wrong type or out of range
     */
    public static BootFile read(Path file) throws IOException, InvalidBootFileException {
        return parse(Files.readString(file, StandardCharsets.UTF_8));
    }

    /**
     * Parses the text of a settings file. Unknown fields are ignored.
     *
     * @throws InvalidBootFileException if settings are missing, of the wrong type or out of range
     */
    public static BootFile parse(String text) throws InvalidBootFileException {
        Object root;
        try {
            root = new Load(LoadSettings.builder().build()).loadFromString(text);
        } catch (YamlEngineException malformed) {
            throw new InvalidBootFileException(
                    List.of(new BootFinding("file", "malformed YAML", "settings as YAML mappings")));
        }
        Reader reader = new Reader(root);
        BootFile file = reader.bootFile();
        if (!reader.findings.isEmpty() || file == null) {
            throw new InvalidBootFileException(reader.findings);
        }
        return file;
    }

    private static final class Reader {
        private final @Nullable Object root;
        private final List<BootFinding> findings = new ArrayList<>();

        Reader(@Nullable Object root) {
            this.root = root;
        }

        @Nullable
        BootFile bootFile() {
            String name = string("self.node_name");
            String zone = string("self.zone");
            double capacity = number("self.limits.cpu_share", 0.01, 1_000) * number("self.limits.cores", 1, 1_000);
            int maxDescriptors = (int) optional("self.limits.max_fds", 300, 1e8, 4_100);
            InetSocketAddress front = address("network.listen.front", true);
            InetSocketAddress ready = address("network.listen.ready", false);
            InetSocketAddress directory = address("network.listen.directory", false);
            InetSocketAddress store = address("platform.platform.address", true);
            String ip = string("self.ip");
            int port = internalPort();
            Duration longestValidity = Duration.ofMillis((long) (bound("ttl_max_s", 0.1, 3_600, 5) * 1000));
            Duration stopLimit = Duration.ofMillis((long) (bound("grace_s", 0.5, 3_600, 6) * 1000));
            Duration validity = StopTimes.within(stopLimit).addressValidity();
            FallbackLimiter.Tolerance tolerance = new FallbackLimiter.Tolerance(
                    bound("quota_window_s", 0.1, 3_600, 5),
                    bound("quota_overrun", 0, 10, 0.1),
                    bound("quota_slack", 0, 1e6, 20));
            double retryRatio = bound("retry_budget_ratio", 0, 10, 0.2);
            double retrySlack = bound("retry_budget_slack", 0, 1e6, 50);
            double floorShare = bound("floor_share", 0, 1, 0.7);
            double contactMillis = bound("contact_ms", 100, 60_000, 3_000);
            if (!findings.isEmpty() || front == null || store == null) {
                return null;
            }
            GatewaySettings settings = new GatewaySettings(
                    name,
                    zone,
                    capacity,
                    front,
                    ready,
                    directory,
                    new InetSocketAddress(ip, port),
                    validity.compareTo(longestValidity) < 0 ? validity : longestValidity,
                    stopLimit,
                    tolerance,
                    new RetryBudgetSettings(retryRatio, retrySlack),
                    new FloorSettings(floorShare, Duration.ofMillis((long) (CONTACTS_UNTIL_HEALTHY * contactMillis))),
                    (int) ((maxDescriptors - FILE_DESCRIPTORS) * CALLERS_SHARE_OF_SOCKETS),
                    Boolean.TRUE.equals(value("self.bootstrap")));
            return new BootFile(settings, store);
        }

        private int internalPort() {
            Object range = value("network.internal_port_range");
            if (range instanceof List<?> list
                    && !list.isEmpty()
                    && list.get(0) instanceof Number first
                    && first.intValue() > 0
                    && first.intValue() < 65_536) {
                return first.intValue();
            }
            report("network.internal_port_range", range, "a list of two ports");
            return 0;
        }

        private String string(String place) {
            Object value = value(place);
            if (value instanceof String string && !string.isEmpty()) {
                return string;
            }
            report(place, value, "a string");
            return "";
        }

        private double number(String place, double min, double max) {
            Object value = value(place);
            if (value instanceof Number number && number.doubleValue() >= min && number.doubleValue() <= max) {
                return number.doubleValue();
            }
            report(place, value, "a number from " + min + " to " + max);
            return min;
        }

        /** Uses the default for a missing bound, since a deployment omits bounds of rules not in force there. */
        private double bound(String name, double min, double max, double defaultValue) {
            return optional("terms.bounds." + name, min, max, defaultValue);
        }

        private double optional(String place, double min, double max, double defaultValue) {
            if (value(place) == null) {
                Event.named("setting-missing")
                        .with("place", place)
                        .with("used", defaultValue)
                        .log();
                return defaultValue;
            }
            return number(place, min, max);
        }

        private @Nullable InetSocketAddress address(String place, boolean required) {
            Object value = value(place);
            if (value == null && !required) {
                return null;
            }
            if (value instanceof String text && NetworkAddress.isValid(text)) {
                int colon = text.lastIndexOf(':');
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
            report(place, value, "an IP address with a port");
            return null;
        }

        private @Nullable Object value(String place) {
            Object current = root;
            for (String key : place.split("\\.", -1)) {
                if (!(current instanceof Map<?, ?> mapping)) {
                    return null;
                }
                current = mapping.get(key);
            }
            return current;
        }

        private void report(String place, @Nullable Object found, String expected) {
            findings.add(new BootFinding(place, found == null ? "nothing" : String.valueOf(found), expected));
        }
    }
}
