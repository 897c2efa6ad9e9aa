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
import org.auburnhoist.support.Event;
import org.jspecify.annotations.Nullable;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;

/**
 * The settings file that the platform gives each process.
 *
 * @param settings the host's settings
 * @param storeAddress where the platform's store listens
 */
public record BootFile(GatewaySettings settings, InetSocketAddress storeAddress) {
    /** Callers keep addresses up to three times as long; short answers let a stopping host drain in time. */
    private static final double LONGEST_ADDRESS_SECONDS = 2;
    /** A server counts as sound this many contact times after a disturbance, as the rules of the platform say. */
    private static final int CONTACTS_UNTIL_SOUND = 2;

    /**
     * A setting that cannot be used.
     *
     * @param place tables and field, joined by dots
     * @param found the value, or "nothing"
     * @param expected what was expected
     */
    public record BootFinding(String place, String found, String expected) {
        /** One line for people. */
        public String describe() {
            return place + ": expected " + expected + ", found " + found;
        }
    }

    /** The file could not be used; each finding says why. */
    public static final class InvalidBootFileException extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient List<BootFinding> findings;

        InvalidBootFileException(List<BootFinding> findings) {
            super("settings file: " + findings.size() + " findings");
            this.findings = List.copyOf(findings);
        }

        /** All findings in the order of the file's fields. */
        public List<BootFinding> findings() {
            return findings;
        }
    }

    /**
     * Reads a settings file.
     *
     * @throws IOException if the file cannot be read
     * @throws InvalidBootFileException if settings are missing, of another type or out of range
     */
    public static BootFile read(Path file) throws IOException, InvalidBootFileException {
        return parse(Files.readString(file, StandardCharsets.UTF_8));
    }

    /**
     * Reads the text of a settings file. Fields that are not known are passed over.
     *
     * @throws InvalidBootFileException if settings are missing, of another type or out of range
     */
    public static BootFile parse(String text) throws InvalidBootFileException {
        Object root;
        try {
            root = new Load(LoadSettings.builder().build()).loadFromString(text);
        } catch (YamlEngineException malformed) {
            throw new InvalidBootFileException(
                    List.of(new BootFinding("file", "malformed YAML", "tables of settings in YAML")));
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
            String name = text("self.node_name");
            String zone = text("self.zone");
            double share = number("self.limits.cpu_share", 0.01, 1_000) * number("self.limits.cores", 1, 1_000);
            InetSocketAddress front = address("network.listen.front", true);
            InetSocketAddress ready = address("network.listen.ready", false);
            InetSocketAddress directory = address("network.listen.directory", false);
            InetSocketAddress store = address("platform.platform.address", true);
            String ip = text("self.ip");
            int port = internalPort();
            double validity = Math.min(LONGEST_ADDRESS_SECONDS, bound("ttl_max_s", 0.1, 3_600, 5));
            double grace = bound("grace_s", 0.5, 3_600, 6);
            FallbackLimiter.Tolerance tolerance = new FallbackLimiter.Tolerance(
                    bound("quota_window_s", 0.1, 3_600, 5),
                    bound("quota_overrun", 0, 10, 0.1),
                    bound("quota_slack", 0, 1e6, 20));
            double retryShare = bound("retry_budget_ratio", 0, 10, 0.2);
            double retrySlack = bound("retry_budget_slack", 0, 1e6, 50);
            double floorShare = bound("floor_share", 0, 1, 0.7);
            double contactMillis = bound("contact_ms", 100, 60_000, 3_000);
            if (!findings.isEmpty() || front == null || store == null) {
                return null;
            }
            GatewaySettings settings = new GatewaySettings(
                    name,
                    zone,
                    share,
                    front,
                    ready,
                    directory,
                    new InetSocketAddress(ip, port),
                    Duration.ofMillis((long) (validity * 1000)),
                    Duration.ofMillis((long) (grace * 1000)),
                    tolerance,
                    new RetryBudgetSettings(retryShare, retrySlack),
                    new FloorSettings(floorShare, Duration.ofMillis((long) (CONTACTS_UNTIL_SOUND * contactMillis))),
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

        private String text(String place) {
            Object value = value(place);
            if (value instanceof String text && !text.isEmpty()) {
                return text;
            }
            report(place, value, "a text");
            return "";
        }

        private double number(String place, double least, double most) {
            Object value = value(place);
            if (value instanceof Number number && number.doubleValue() >= least && number.doubleValue() <= most) {
                return number.doubleValue();
            }
            report(place, value, "a number from " + least + " to " + most);
            return least;
        }

        /** A deployment states no bounds for rules that are not in force there; the usual ones are kept then. */
        private double bound(String name, double least, double most, double usual) {
            String place = "terms.bounds." + name;
            if (value(place) == null) {
                Event.named("setting-missing")
                        .with("place", place)
                        .with("used", usual)
                        .log();
                return usual;
            }
            return number(place, least, most);
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
            Object present = root;
            for (String part : place.split("\\.", -1)) {
                if (!(present instanceof Map<?, ?> table)) {
                    return null;
                }
                present = table.get(part);
            }
            return present;
        }

        private void report(String place, @Nullable Object found, String expected) {
            findings.add(new BootFinding(place, found == null ? "nothing" : String.valueOf(found), expected));
        }
    }
}
