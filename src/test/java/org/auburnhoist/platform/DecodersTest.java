package org.auburnhoist.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.auburnhoist.core.StorePosition;
import org.auburnhoist.core.TrafficClass;
import org.auburnhoist.core.configuration.Sha256;
import org.auburnhoist.core.dispatch.FloorSettings;
import org.auburnhoist.core.routing.TrafficConfiguration;
import org.auburnhoist.core.routing.TrafficRoute;
import org.auburnhoist.core.routing.UpstreamServer;
import org.auburnhoist.core.routing.WeightedService;
import org.auburnhoist.gateway.PlatformBinding;
import org.auburnhoist.proxy.RequestHead;
import org.auburnhoist.store.Entry;
import org.junit.jupiter.api.Test;

/** Guards against misreading the platform's settings and entries, and against using entries of other writers. */
class DecodersTest {
    private static final String CONFIGURATION = """
            {"version":"r12","routes":[
             {"name":"r-1","host":"One.example","path_prefix":"/a/","kind":"unsafe","timeout_ms":1500,
              "target_latency_ms":800,"priority":1,"service":"pay","max_attempts":2,"auth_exempt":false},
             {"name":"r-2","host":"two.example","path_prefix":"/b/","kind":"download","timeout_ms":1200,
              "target_latency_ms":600,"priority":2,"max_attempts":3,"auth_exempt":true,
              "weighted_backends":[{"service":"look","weight":90},{"service":"pay","weight":10}]},
             {"name":"r-3","host":"two.example","path_prefix":"/c/","kind":"another","service":"pay"}],
             "services":[{"name":"look"},{"name":"pay"}],
             "limits":{"max_header_bytes":16384},
             "tenants":[{"name":"team-1","api_keys":["k1","k2"],"priority":0,"rate_per_s":31,"burst_size":30},
                        {"name":"team-2","api_keys":[]}]}""";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void theConfigurationIsDecodedCompletely() throws IOException {
        TrafficConfiguration decoded = ConfigurationDecoder.decode(bytes(CONFIGURATION));
        assertEquals(12, decoded.version());
        assertEquals(
                new TrafficRoute(
                        "r-1",
                        "one.example",
                        "/a/",
                        TrafficClass.BOOKING,
                        1500,
                        800,
                        1,
                        List.of(new WeightedService("pay", 1)),
                        2,
                        false),
                decoded.routes().get(0));
        assertEquals(TrafficClass.DOWNLOAD, decoded.routes().get(1).trafficClass());
        assertEquals(
                List.of(new WeightedService("look", 90), new WeightedService("pay", 10)),
                decoded.routes().get(1).services());
        assertEquals(TrafficClass.BOOKING, decoded.routes().get(2).trafficClass(), "an unknown kind runs at most once");
        assertEquals("team-1", decoded.teamsByKeyDigest().get(Sha256.hex("k2")));
        assertEquals(31, decoded.teams().get("team-1").ratePerSecond());
        assertTrue(!decoded.teams().get("team-2").isRateLimited());
    }

    @Test
    void aMalformedConfigurationIsRejected() {
        for (String text : List.of("", "[]", "{}", "{\"version\":7}", "{\"version\":\"rx\"}", "{\"version\":\"r1\",")) {
            assertThrows(IOException.class, () -> ConfigurationDecoder.decode(bytes(text)), text);
        }
    }

    private static final String REGISTRATION = """
            {"service":"pay","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":2,"state":"ready",\
            "warmup_left_ms":800,"sequence":4,"born":1781170000000}""";

    @Test
    void aRegistrationDescribesAServer() throws IOException {
        assertEquals(
                new UpstreamServer("i-1", 1781170000000L, "pay", "10.0.0.9:8080", "z", 2, false, 800),
                decode(REGISTRATION));
        assertEquals(
                new UpstreamServer("i-1", 1781170000000L, "pay", "10.0.0.9:8080", "z", 2, true, 800),
                decode(REGISTRATION.replace("ready", "draining")));
    }

    /** Guards against the use of a server whose entry another writer has replaced by one that lacks fields. */
    @Test
    void anEntryThatLacksAFieldNamesNoServer() {
        for (String field : List.of(
                "service", "address", "zone", "version", "slots", "state", "warmup_left_ms", "sequence", "born")) {
            assertNamesNoServer(REGISTRATION.replace("\"" + field + "\"", "\"x\""));
        }
        assertNamesNoServer("{\"service\":\"pay\",\"address\":\"10.0.0.9:8080\",\"slots\":2,\"state\":\"ready\"}");
    }

    /** Guards against entries of other writers whose fields have another type or are out of range. */
    @Test
    void anEntryWithAWrongValueNamesNoServer() {
        Map<String, List<String>> wrongValues = Map.of(
                "service", List.of("7", "null", "[\"pay\"]", "\"\""),
                "address", List.of("7", "\"nowhere\"", "\"10.0.0.9:0\"", "\"10.0.0.9:65536\"", "\"10.0.0.999:80\""),
                "zone", List.of("7", "null", "{}"),
                "version", List.of("7", "null", "{}"),
                "slots", List.of("\"2\"", "0", "-2", "2.5", "10001", "4294967298", "99999999999999999999", "1e999"),
                "state", List.of("\"resting\"", "7", "true"),
                "warmup_left_ms", List.of("\"x\"", "-1", "1e999", "-1e999", "99999999999999999999", "null"),
                "sequence", List.of("\"4\"", "4.5", "-1", "99999999999999999999", "null"),
                "born", List.of("\"x\"", "5.5", "-1", "99999999999999999999", "null"));
        wrongValues.forEach((field, values) -> values.forEach(value -> assertNamesNoServer(
                REGISTRATION.replaceAll("\"" + field + "\":(\"[^\"]*\"|[0-9]+)", "\"" + field + "\":" + value))));
    }

    /** Guards against a process that ends, or stops reading the list, because of one entry of another writer. */
    @Test
    void bytesThatAreNoRegistrationNameNoServer() {
        for (String text : List.of(
                "",
                "garbage",
                "{}",
                "[]",
                REGISTRATION + "}",
                REGISTRATION + REGISTRATION,
                REGISTRATION.replace("{", "{\"service\":\"look\","),
                REGISTRATION.replace(":2,", ":" + "9".repeat(5_000) + ","),
                REGISTRATION.replace("\"born\"", "\"x\":" + "[".repeat(70) + "]".repeat(70) + ",\"born\""),
                "[".repeat(200_000),
                "{\"a\":".repeat(100_000))) {
            assertNamesNoServer(text);
        }
        for (String id : List.of("", "i\r\nX-Tenant: a", "i 1", "\u00e9")) {
            Entry entry = new Entry("servers/" + id, bytes(REGISTRATION), StorePosition.ofRevision(3));
            assertThrows(IOException.class, () -> RegistrationDecoder.decode("servers/", entry), id);
        }
    }

    /** Guards against a server that is treated as slow for as long as it says. */
    @Test
    void theWarmUpTimeIsBounded() throws IOException {
        assertEquals(600_000, decode(REGISTRATION.replace(":800", ":86400000")).warmUpMillis());
        assertEquals(0, decode(REGISTRATION.replace(":800", ":0.5")).warmUpMillis());
    }

    private static void assertNamesNoServer(String text) {
        assertThrows(IOException.class, () -> decode(text), text.substring(0, Math.min(240, text.length())));
    }

    private static UpstreamServer decode(String text) throws IOException {
        return RegistrationDecoder.decode("servers/", entry(text));
    }

    private static Entry entry(String text) {
        return new Entry("servers/i-1", bytes(text), StorePosition.ofRevision(3));
    }

    @Test
    void aRepeatedKeyOrDeadlineIsAmbiguous() {
        KvBinding binding = new KvBinding();
        PlatformBinding.RequestMetadata once = binding.requestMetadata(head(
                Map.entry("Host", "one.example"),
                Map.entry("Authorization", "Token k1"),
                Map.entry("X-Attempt-Id", "a1"),
                Map.entry("X-Deadline-Remaining", "2500")));
        assertEquals(new PlatformBinding.RequestMetadata("one.example", "k1", false, "a1", 2500), once);
        assertTrue(binding.requestMetadata(
                        head(Map.entry("Authorization", "Token k1"), Map.entry("authorization", "Token k2")))
                .ambiguous());
        assertNull(binding.requestMetadata(head(Map.entry("Authorization", "Bearer k1")))
                .key());
        assertEquals(-1, binding.requestMetadata(head()).remainingMillis());
    }

    @SafeVarargs
    private static RequestHead head(Map.Entry<String, String>... headers) {
        return new RequestHead("id", "GET", "/a/", "name=x&zone=cypress", List.of(headers), 0, "10.0.0.9");
    }

    @Test
    void anAddressResponseContainsHostsAndValidity() {
        KvBinding binding = new KvBinding();
        assertEquals("cypress", binding.callerDataCentre(head()));
        byte[] body = binding.addressResponse(List.of("10.0.0.1:1", "10.0.0.2:1"), Duration.ofMillis(1500))
                .body();
        assertEquals(
                "{\"addresses\":[\"10.0.0.1:1\",\"10.0.0.2:1\"],\"ttl_s\":1.5}",
                new String(body, StandardCharsets.UTF_8));
    }

    private static final String BOOT = """
            self:
              node_name: "edge-a-1"
              zone: "a"
              ip: "10.1.0.37"
              unknown_field: 3
              limits: {cpu_share: 0.5, cores: 2}
            network:
              listen: {front: "10.1.0.37:8388", ready: "10.1.0.37:8384", directory: "10.1.0.37:8383"}
              internal_port_range: [7560, 7575]
            platform:
              platform: {address: "10.200.1.7:8382"}
            terms:
              bounds: {ttl_max_s: 5, grace_s: 6, quota_window_s: 5, quota_overrun: 0.1, quota_slack: 20,
                       retry_budget_ratio: 0.2, retry_budget_slack: 60, floor_share: 0.7}
            """;

    @Test
    void theSettingsFileIsMappedToTheHostsSettings() throws Exception {
        BootFile boot = BootFile.parse(BOOT);
        assertEquals("edge-a-1", boot.settings().name());
        assertEquals(1.0, boot.settings().capacity());
        assertEquals(new InetSocketAddress("10.1.0.37", 7560), boot.settings().peerAddress());
        assertEquals(new InetSocketAddress("10.200.1.7", 8382), boot.storeAddress());
        assertEquals(Duration.ofSeconds(6), boot.settings().stopLimit());
        assertNotNull(boot.settings().directoryAddress());
    }

    /** Guards against a host whose callers take the descriptors that it needs for servers, hosts and the platform. */
    @Test
    void callersGetTwoThirdsOfTheSocketsThatTheProcessMayOpen() throws Exception {
        assertEquals(2_600, BootFile.parse(BOOT).settings().maxCallerConnections());
        assertEquals(
                200,
                BootFile.parse(BOOT.replace("cores: 2", "cores: 2, max_fds: 500"))
                        .settings()
                        .maxCallerConnections());
        assertEquals(
                List.of("self.limits.max_fds"),
                assertThrows(
                                BootFile.InvalidBootFileException.class,
                                () -> BootFile.parse(BOOT.replace("cores: 2", "cores: 2, max_fds: 200")))
                        .findings()
                        .stream()
                        .map(BootFile.BootFinding::place)
                        .toList());
    }

    /** Guards against hosts that fail to start because a deployment omits the bounds of rules not in force there. */
    @Test
    void missingBoundsHaveDefaultValues() throws Exception {
        BootFile boot =
                BootFile.parse(BOOT.replace(", floor_share: 0.7", "").replace("bounds: {ttl_max_s: 5, ", "bounds: {"));
        assertEquals(
                new FloorSettings(0.7, Duration.ofSeconds(6)), boot.settings().floor());
        assertEquals(Duration.ofMillis(700), boot.settings().addressValidity());
    }

    @Test
    void eachFaultOfTheSettingsFileIsReportedWithItsPath() {
        String text = BOOT.replace("\"a\"\n", "7\n")
                .replace("grace_s: 6", "grace_s: -1")
                .replace("front: ", "fronts: ");
        BootFile.InvalidBootFileException invalid =
                assertThrows(BootFile.InvalidBootFileException.class, () -> BootFile.parse(text));
        assertEquals(
                List.of("self.zone", "network.listen.front", "terms.bounds.grace_s"),
                invalid.findings().stream().map(BootFile.BootFinding::place).toList());
        assertThrows(BootFile.InvalidBootFileException.class, () -> BootFile.parse("]["));
        assertThrows(BootFile.InvalidBootFileException.class, () -> BootFile.parse(""));
    }
}
